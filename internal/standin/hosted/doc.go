// Package hosted holds stand-ins for the users' platform, written over its published
// protocol, for tests without the users' bench: Store is the metadata store, Group a
// replicated database with its promotions. Both can be made to misbehave.
package hosted
