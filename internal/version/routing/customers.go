package routing

import "lagoonbarrow"

// customers holds the customers of one version by their keys and ids.
type customers struct {
	byKey map[lagoonbarrow.KeyHash]*lagoonbarrow.Customer
	byID  map[lagoonbarrow.CustomerID]*lagoonbarrow.Customer
}

func newCustomers(configured []lagoonbarrow.Customer) customers {
	c := customers{
		byKey: map[lagoonbarrow.KeyHash]*lagoonbarrow.Customer{},
		byID:  map[lagoonbarrow.CustomerID]*lagoonbarrow.Customer{},
	}
	for i := range configured {
		customer := &configured[i]
		c.byID[customer.ID] = customer
		for _, hash := range customer.KeyHashes {
			c.byKey[hash] = customer
		}
	}
	return c
}

// RequiresKey reports whether the configuration in force has customers, whose keys clients
// have to send.
func (r *Registry) RequiresKey() bool {
	current := r.current.Load()
	return current != nil && current.configuration.RequiresKey
}

// Customer returns the customer that holds a key, which must not be changed. It returns
// ErrUnavailable while no configuration is in force, and ErrUnauthenticated for a key that
// no customer holds.
func (r *Registry) Customer(key []byte) (*lagoonbarrow.Customer, error) {
	current := r.current.Load()
	if current == nil {
		return nil, lagoonbarrow.ErrUnavailable
	}
	customer, found := current.customers.byKey[lagoonbarrow.HashKey(key)]
	if !found {
		return nil, lagoonbarrow.ErrUnauthenticated
	}
	return customer, nil
}

// CustomerByID returns a customer of the configuration in force, which must not be changed.
func (r *Registry) CustomerByID(id lagoonbarrow.CustomerID) (*lagoonbarrow.Customer, bool) {
	current := r.current.Load()
	if current == nil {
		return nil, false
	}
	customer, found := current.customers.byID[id]
	return customer, found
}
