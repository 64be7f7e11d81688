// Package reader decides which nodes follow the platform's tables on behalf of the fleet. In a
// small fleet all nodes do. In a larger one only a few readers do; the other nodes get the tables
// from their peers. The load of the store then does not grow with the square of the number of
// nodes, as it does where each node's row wakes each node's feed.
//
// Invariant: a node that has not heard for MaxSilence that the tables were confirmed by the store,
// by itself or by any peer, follows them itself, so a fleet whose readers are all dead or cut off
// from the store goes on without them. Nothing that must hold depends on who the readers are:
// nodes with different views of the fleet may choose different ones.
//
// The package has no goroutines, locks or clock.
package reader
