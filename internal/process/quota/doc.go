// Package quota keeps each customer within the rate of its contract over all
// entry nodes.
//
// Each customer has an owner among the nodes, chosen by rendezvous hashing.
// Nodes with demand report it to the owner once a second, and after 250 ms when
// it has changed a lot. They receive a share of the rate, which is valid for 3 s
// after the report was sent. A report gives up what the share exceeds the demand
// by, so that the owner can hand it to others at once. Without a
// valid share a node uses a floor, the rate divided by the live nodes. Demand is
// reported by importance: the owner serves critical demand first, and a node
// refuses deferrable requests first.
//
// The owner is chosen among all live instances and not among those of the
// entry service. A contract's rate holds for all services together, and one
// owner per service would allow the rate once per service even without any
// fault. With all instances, the failure of one affects the customers that it
// owns for one report timeout: the report goes to the second instance in
// rank, so the share is renewed before it ends. The floor divides by all live
// instances for the same reason: then the floors never add up to more than the
// rate, whichever services a customer enters by.
//
// Bound on the shares in use at any time: the rate times the number of
// processes that granted shares in the last 3 s (one without faults, two while
// an owner is replaced or paused, or on the two sides of a partition), plus the
// floors, at most the rate for each side of a partition.
package quota
