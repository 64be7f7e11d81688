// Package link is a loopback TCP proxy between two ends of a test deployment, such as a caller and a
// node, a node and a target, or a node and the platform's store. It delays what passes in each direction,
// resets connections, holds one direction back, and cuts connections after a number of bytes.
//
// The bytes of a direction keep their order. The end of a stream and a reset are delivered after the
// bytes that were sent before them and as late as these. With Options.ResetOvertakes a reset discards the
// bytes that are still under way, as a kernel may do with bytes that its process has not read yet.
package link
