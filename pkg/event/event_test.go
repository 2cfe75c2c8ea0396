package event

import "testing"

// Guards against two kinds of events that share a number or a name, which
// would make a timeline ambiguous.
func TestCatalogueIsUnique(t *testing.T) {
	numbers := map[int]string{}
	names := map[string]int{}
	for _, kind := range Catalogue() {
		if other, taken := numbers[kind.Number]; taken {
			t.Errorf("number %d is used by %s and %s", kind.Number, other, kind.Name)
		}
		if other, taken := names[kind.Name]; taken {
			t.Errorf("name %s is used by %d and %d", kind.Name, other, kind.Number)
		}
		numbers[kind.Number] = kind.Name
		names[kind.Name] = kind.Number
	}
}
