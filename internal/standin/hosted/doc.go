// Package hosted holds in-process stand-ins for the users' hosting platform, written from its
// published protocol, for tests that run without the users' own test environment. Store is
// the metadata store; Group is a replicated database with the call that promotes a target.
// Tests can inject faults into both.
package hosted
