// Package lagoonbarrow holds the identifiers, units, interfaces and sentinel
// errors that all parts of the overload control layer share. Implementations
// live in the packages below it.
package lagoonbarrow
