// Package caller is the client side of lagoonbarrow. Client sends a customer's
// requests to entry nodes. Downstream makes the calls of a backend server
// through the node beside it. NotRun reports to that node that a call was not
// run.
//
// Refusals are errors of type *Refusal. Test them with errors.Is:
//
//   - ErrNotRun: the request was not run and none of its re-sends will be.
//   - ErrUnknown: the request may have been run.
//   - ErrOverContract: the customer exceeds its contract. The refusal also
//     matches ErrNotRun.
//   - ErrRejected: the request can't succeed unchanged. The refusal also matches
//     ErrNotRun, unless an earlier send of the request has an unknown outcome.
//
// A complete answer from a backend server is a Response and not an error,
// whatever its status.
package caller
