// Package quota keeps customers within their rates over all nodes. Quota holds the
// shares of contracts, and Limits the limits of the configuration's customers.
//
// # Contracts
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
//
// # Customers of the configuration
//
// Limits admits at most (rate x 5 s + burst) x 1.1 + 20 requests of a customer in any
// 5 s, whichever nodes fail, restart or can't reach each other. Customers belong to one
// of four groups. A node gives its vote in each group to one keeper at a time, for 0.9 s
// from the keeper's own time that it repeats, or for 1.5 s without demand in the group. A
// keeper with k of N votes fills the bucket of each customer at k/N of the rate, from
// empty, so that all keepers together grant the rate once. Nodes take tokens from the
// keeper before they let requests through, and use them within 250 ms.
// docs/design/customer-limits.md has the rules for each failure.
//
// The bound of 5 s holds the rate of 5 s and the burst, tokens of 250 ms that were
// granted before (0.25 x rate), and a bucket larger than the burst by 0.1 x rate + 4.
// With a burst of 0 this leaves 0.15 x rate + 16 for members that are not known to all
// nodes at the same time.
//
// Costs. A refresh and its reply have bodies of 91 bytes together, with one customer 140
// (BenchmarkTokenMessages); frames add about 66 to each of the two. An exchange costs
// both processes 30 us together (that benchmark, and BenchmarkControlMessage of
// internal/connection/peer, on a kept connection). In a simulated deployment of 68
// nodes with 76 customers and 2,191 requests a second, a node sends 34.3 messages a
// second, and 56 % of the requests wait for one (TestFleetServesCustomersWithinTheirRates);
// half of the requests are of customers that send less than two a second to a node.
// Without demand the table applies. It is computed from 223 bytes and 15 us for each of
// the two processes, 8 messages a second from each node, and as many as nodes x 2 a
// second to the keeper of one group. Without customers that have a limit there are no
// messages.
//
//	nodes   node, own part          keeper of one group
//	   68   1.8 KB/s, 0.01 %        30 KB/s, 0.2 % of a core
//	  300   1.8 KB/s, 0.01 %       134 KB/s, 0.9 % of a core
//	7,800   1.8 KB/s, 0.01 %     3,500 KB/s,  23 % of a core
//
// The keeper's part exceeds the budget of 3 KB/s beyond 4 nodes. With more
// nodes its traffic has to be shared out: see the design note.
package quota
