package budget

import (
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

// TestBudgetInvariant plays random changes of several accounts: what is held is the sum of the accounts and
// stays within the bound, a share is always available, less is always accepted, and a refusal changes nothing.
func TestBudgetInvariant(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := Limits{Share: rapid.IntRange(0, 20).Draw(t, "share"), Common: rapid.IntRange(0, 100).Draw(t, "common")}
		b := New(limits)
		accounts := make([]*Account, rapid.IntRange(1, 8).Draw(t, "accounts"))
		for i := range accounts {
			accounts[i] = b.Account()
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			a := rapid.SampledFrom(accounts).Draw(t, "account")
			size := rapid.IntRange(0, 80).Draw(t, "size")
			before := a.Held()
			accepted := a.Resize(size)
			if size <= max(before, limits.Share) {
				must.True(t, accepted)
			}
			want := before
			if accepted {
				want = size
			}
			must.Eq(t, want, a.Held())
			checkSum(t, b, accounts)
		}
		for _, a := range accounts {
			a.Release()
			a.Release()
		}
		must.Eq(t, 0, b.Held())
	})
}

// checkSum checks what b holds against the sum of its accounts and against its limits.
func checkSum(t *rapid.T, b *Budget, accounts []*Account) {
	held, beyond := 0, 0
	for _, a := range accounts {
		held += a.Held()
		beyond += max(0, a.Held()-b.limits.Share)
	}
	must.Eq(t, held, b.Held())
	must.LessEq(t, b.limits.Common, beyond)
}

// TestRoomIsTakenToTheLastByte checks that a refusal is for want of room, and that what one account gives back
// is there for another.
func TestRoomIsTakenToTheLastByte(t *testing.T) {
	b := New(Limits{Share: 10, Common: 100})
	first, second := b.Account(), b.Account()
	must.True(t, first.Resize(110))
	must.False(t, first.Resize(111))
	must.True(t, second.Resize(10))
	must.False(t, second.Resize(11))
	must.True(t, first.Resize(109))
	must.True(t, second.Resize(11))
}
