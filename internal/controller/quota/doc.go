// Package quota splits each customer's rate and burst over the nodes of the fleet.
//
// Every trustee (all listed nodes of a small fleet, some of a large one) has a right to an
// equal share of the rate. A trustee that reaches the customer's coordinator lends its
// share to it for LoanTerm; the coordinator fills a bucket at the rate of the shares lent
// to it, and grants tokens to the nodes that need them. A trustee that has lost its
// coordinator uses its own share again, once the coordinator has stopped counting it. A
// token that was granted is spent once, by one node; a request that provably did not run
// gives its token back.
//
// Invariant: shares that are lent and shares that are used sum to at most the whole rate
// at every moment, and tokens that are in the bucket, held, or spent on requests whose fate
// is still open to at most the burst. So the
// fleet runs at most rate x time + burst in any window, whoever is cut off, paused, killed
// or restarted, and without the platform's store. Tokens that a lost message or a dead node
// held are gone; the bucket fills again at the rate.
//
// The package holds no goroutine, lock or clock. Times must count suspensions of the VM.
package quota
