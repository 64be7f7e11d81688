// Package budget bounds the memory that all sessions of a node hold together.
//
// Invariant: each account may always hold its share, whatever the others hold, and what all accounts hold
// beyond their shares is never more than the common part. So the bound on a node is the number of its
// sessions times the share, plus the common part.
package budget

import (
	"context"
	"sync"
)

// Limits are the bounds of a Budget in bytes.
type Limits struct {
	// Share is what each account may always hold.
	Share int
	// Common is what all accounts together may hold beyond their shares.
	Common int
}

// Budget is the budget of a node. It is safe for concurrent use.
type Budget struct {
	limits Limits

	mu sync.Mutex
	// held is what all accounts hold, and beyond the part of it that exceeds their shares.
	held, beyond int
}

// New returns a Budget of which nothing is held.
func New(limits Limits) *Budget { return &Budget{limits: limits} }

// Held returns the number of bytes that all accounts hold.
func (b *Budget) Held() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.held
}

// Account returns the account of a new session, which holds nothing.
func (b *Budget) Account() *Account { return &Account{budget: b} }

// Account is what one session holds of a Budget. Its methods are for one goroutine. A nil Account belongs to no
// budget, holds nothing and refuses nothing.
type Account struct {
	budget *Budget
	held   int
}

// Held returns the number of bytes that the account holds.
func (a *Account) Held() int {
	if a == nil {
		return 0
	}
	return a.held
}

// Resize makes the account hold size bytes. It reports false, and changes nothing, if that is more than the
// account holds and the budget has no room for it.
func (a *Account) Resize(size int) bool {
	if a == nil {
		return true
	}
	b := a.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	beyond := b.beyond + max(0, size-b.limits.Share) - max(0, a.held-b.limits.Share)
	if beyond > b.limits.Common {
		return false
	}
	b.held += size - a.held
	b.beyond = beyond
	a.held = size
	return true
}

// Release makes the account hold nothing. It may be called more than once.
func (a *Account) Release() { a.Resize(0) }

// accountKey is the key of an Account in a context.
type accountKey struct{}

// NewContext returns a copy of ctx that carries account, which holds the answer to what is done in ctx. It is used
// from the goroutine that does so.
func NewContext(ctx context.Context, account *Account) context.Context {
	return context.WithValue(ctx, accountKey{}, account)
}

// FromContext returns the account that ctx carries, nil if there is none.
func FromContext(ctx context.Context) *Account {
	account, _ := ctx.Value(accountKey{}).(*Account)
	return account
}
