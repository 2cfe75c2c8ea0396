// Package quota keeps each customer within the rate of its contract over all
// entry nodes.
//
// Each customer has an owner among the nodes, chosen by rendezvous hashing.
// Nodes with demand report it to the owner once a second, and already after
// 250 ms when it has changed a lot. Steady demand below half of the share is
// reported every 2 s. The owner answers with a share of the rate, which is valid
// for 3 s after the report was sent. When a node sends a report, it gives up the
// part of its share that exceeds its demand, and the owner can grant that part to
// other nodes at once. Without a valid share a node uses a floor: the rate
// divided by the number of live nodes. Demand is reported by importance. The
// owner serves critical demand first, and a node refuses deferrable requests
// first.
//
// The owner is chosen among all live instances, not only those of the entry
// service. A contract's rate applies to all services together, and one owner per
// service would allow the full rate once per service even without faults. When an
// instance fails, the customers that it owns are affected for one report timeout:
// the report then goes to the second instance in rank, which renews the share
// before it expires. The floor also divides by all live instances, because the
// floors then never add up to more than the rate, whichever services a customer
// enters by.
//
// Shares follow a change of demand only after about 300 ms, and later when other
// nodes have to give up theirs first. The owner therefore keeps a pool of at most
// the contract's burst, which fills at the rate that is not granted in shares. A
// node that lacks work units receives credit from this pool. Credit may be
// admitted once, within 500 ms after the report was sent. With its next report a
// node returns the tokens above the capacity of its share, and credit that it does
// not need. Some refusals within the rate remain: 5 % of the work when 0.6 of the
// rate moves from one node to another each second, and 1 % when 0.72 of the rate
// moves between two pairs of nodes (TestSwingsWithinTheRate).
//
// The shares in use at any time are at most the rate times the number of
// processes that granted shares in the last 3 s, plus the floors, which are at
// most the rate for each side of a partition. The number of processes is one
// without faults, and two while an owner is replaced or paused, or on the two
// sides of a partition.
//
// The work admitted in any time T is at most the sum of the shares and floors in
// use over T, the work in the buckets at its start, the debt of one request for
// each node, and the credit. Buckets hold at most the burst or one second of the
// rate, whichever is more, once for floors and once for shares. The credit granted
// by one owner in T is at most the burst, the work that was returned to the owner,
// and the part of the rate over T that it did not grant in shares. Credit granted
// in the 500 ms before T may still be in use. In the long run an owner therefore
// grants no more than the rate. The pool of a new owner holds at most the burst,
// and no more than the rate since its process started.
//
// The table shows the control traffic of a node. A report has a body of 137 to
// 172 bytes and an answer one of 68 to 84 bytes; each message counts as 260 bytes
// on a persistent connection. The figures are computed for a different owner for
// each customer, and include the node's reports and the answers to them. As an
// owner a node carries the same amount again on average, if all nodes have the
// same number of customers.
//
//	active customers  every 2 s  every 1 s  rapid change (4 a second)
//	1                 0.26 KB/s  0.52 KB/s   2.1 KB/s
//	10                 2.6 KB/s   5.2 KB/s  20.8 KB/s
//	50                  13 KB/s    26 KB/s   104 KB/s
//
// Including the owner's part, up to 5 steady customers a node fit into the budget
// of 3 KB/s (2.6 KB/s). 6 or more exceed it.
package quota
