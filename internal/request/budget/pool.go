package budget

import (
	"sync"

	"lagoonbarrow"
)

// pool holds the tokens of one request at this node. The count rises only when shared
// tokens are returned.
type pool struct {
	mu     sync.Mutex
	tokens lagoonbarrow.Tokens
}

func newPool(tokens lagoonbarrow.Tokens) *pool {
	return &pool{
		tokens: max(tokens, 0),
	}
}

// share takes half of the tokens, rounded up.
func (p *pool) share() lagoonbarrow.Tokens {
	p.mu.Lock()
	defer p.mu.Unlock()
	taken := (p.tokens + 1) / 2
	p.tokens -= taken
	return taken
}

func (p *pool) add(tokens lagoonbarrow.Tokens) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.tokens += tokens
}

func (p *pool) spend() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.tokens < 1 {
		return false
	}
	p.tokens--
	return true
}

// drain takes all tokens.
func (p *pool) drain() lagoonbarrow.Tokens {
	p.mu.Lock()
	defer p.mu.Unlock()
	taken := p.tokens
	p.tokens = 0
	return taken
}
