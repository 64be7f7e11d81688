// Package reader decides which nodes follow the platform's tables on behalf of the fleet. In a
// small fleet all nodes do. In a larger one only a few readers do; the other nodes get the tables
// from their peers. The load of the store then does not grow with the square of the number of
// nodes, as it does where each node's row wakes each node's feed.
//
// All live nodes have an order: the readers first, then the others by a hash of their names. A
// confirmation is an answer of the store about the configuration, made to a node all of whose
// tables the store answers for. It travels between the nodes together with its age and with the
// node that got it.
//
// Invariant: a node for which no confirmation by a node before it in the order is younger than its
// patience follows the configuration itself, and a little later the other tables. The patience is
// shorter than the time in which a change must be in force, and grows with the logarithm of the
// node's place in the order. So a fleet whose readers are all dead, cut off from the store or not
// answered goes on without them, and if some nodes reach the store, few others call it. Nothing that
// must hold depends on who the readers are: nodes with different views of the fleet may choose
// different ones.
//
// The package has no goroutines, locks or clock.
package reader
