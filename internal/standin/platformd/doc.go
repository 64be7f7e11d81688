// Package platformd is a small stand-in for the platform: a table service with conditional
// writes, an object store and a VM list that lags behind its changes. It keeps everything in
// memory, speaks plain HTTP and injects faults on request. A write takes effect before its
// response is sent, in a separate step, so that a response can be lost after the write has
// taken effect.
package platformd
