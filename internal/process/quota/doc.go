// Package quota keeps each customer within the rate of its contract over all
// entry nodes.
//
// Each customer has an owner among the nodes, chosen by rendezvous hashing.
// Nodes with demand report it to the owner once a second, and after 250 ms when
// it has changed a lot. Demand that is steady and below half of the share is
// reported every 2 s. Nodes receive a share of the rate, which is valid for 3 s
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
// Shares follow a swing of demand only after about 300 ms, and later when other
// nodes have to give theirs up first. The owner therefore keeps a pool of the
// contract's burst, which fills at the rate that is not granted in shares, and
// answers a node that lacks work with credit. Credit may be admitted once within
// 500 ms after the report was sent. A node returns the tokens above the capacity
// of its share, and credit that it does not need, with its next report.
// Some refusals within the rate remain: 5 % of the work when 0.6 of the rate
// moves from one node to another each second, 1 % when 0.72 of it moves between
// two pairs of nodes (TestSwingsWithinTheRate).
//
// Bound on the shares in use at any time: the rate times the number of
// processes that granted shares in the last 3 s (one without faults, two while
// an owner is replaced or paused, or on the two sides of a partition), plus the
// floors, at most the rate for each side of a partition.
//
// Bound on the admitted work: in any time T, the shares and floors in use over
// T, the work in the buckets at its start, the debt of one request for each node,
// and the credit. Buckets hold at most the burst or one second of the rate,
// whichever is more, once for floors and once for shares. Credit granted by one
// owner in T is at most the burst, what was returned to it, and the rate over T
// that it did not grant in shares; credit of the 500 ms before T may be in use as
// well. So in the long run an owner gives no more than the rate. The pool of a
// new owner holds at most the burst, and no more than the rate since its process
// started.
//
// Control traffic of a node, with a report of 137 to 172 bytes and an answer of
// 68 to 84 bytes in the body, taken as 260 bytes each way on a kept connection.
// The figures are computed for a different owner for each customer, and count the
// node's reports and the answers to them. As an owner a node carries as much
// again on average, if all nodes have as many customers.
//
//	active customers  every 2 s  every 1 s  swing (4 a second)
//	1                 0.26 KB/s  0.52 KB/s   2.1 KB/s
//	10                 2.6 KB/s   5.2 KB/s  20.8 KB/s
//	50                  13 KB/s    26 KB/s   104 KB/s
//
// With the owner's part, the budget of 3 KB/s holds up to 5 steady customers a
// node (2.6 KB/s) and is exceeded from 6 on.
package quota
