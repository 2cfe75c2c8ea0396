// Package caller is the client side of lagoonbarrow. Client sends a customer's
// requests to entry nodes. Downstream makes the calls of a backend server
// through the node beside it. NotRun tells that node that a call was not run.
//
// Refusals are errors of type *Refusal. Test them with errors.Is:
//
//   - ErrNotRun: the request was not run and none of its re-sends will be.
//   - ErrUnknown: the request may have been run.
//   - ErrOverContract: the customer is over its contract; also ErrNotRun.
//   - ErrRejected: the request can't succeed as it is; also ErrNotRun unless
//     an earlier send of it has an unknown outcome.
//
// A whole answer of a backend server is a Response and not an error, whatever
// its status.
package caller
