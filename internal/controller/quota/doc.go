// Package quota splits each customer's rate and burst among the nodes of the fleet.
//
// Each shareholder of a customer is entitled to an equal share of the customer's rate and
// burst. The shareholders are all listed nodes of a small fleet, or MaxShareholders nodes of
// a large one. The customer's coordinator is the live node to which all nodes report their
// tokens of this customer. While nodes see different nodes alive, they may report to different
// coordinators.
//
// A shareholder that can reach the coordinator lends its share to it for LoanTTL. The
// coordinator fills a token bucket at the rate of the shares lent to it, and grants tokens to
// the nodes that need them. A shareholder that has lost its coordinator uses its own share
// again, but only after the coordinator has stopped adding tokens for this share. A granted
// token is spent once, by one node. A request that provably did not run returns its token.
//
// Invariant: at every moment, the shares that are lent and the shares that their holders use
// themselves add up to at most the whole rate. The tokens that are in a bucket, held by a
// node, or spent on requests whose outcome is still unknown add up to at most the burst.
//
// Therefore the fleet runs at most rate x time + burst requests in any window, whichever
// nodes are cut off, paused, killed or restarted, and without access to the platform's store.
// Tokens in a lost message or on a dead node are lost; the bucket refills at the rate.
//
// The package has no goroutines, locks or clock. The times passed to it must include the time
// during which the VM was suspended.
package quota
