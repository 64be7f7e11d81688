package quota

import (
	"slices"
	"time"
)

// TransferTTL is the longest time for which tokens that one coordinator of a customer gave to another one
// count there, from when that one asked for them.
const TransferTTL = 100 * time.Millisecond

// lowLevelShare is the part of its own burst below which a coordinator asks the others for tokens.
const lowLevelShare = 0.25

// TransferRequest asks another coordinator of the same customer for tokens.
type TransferRequest struct {
	Customer string `cbor:"1,keyasint"`
	// Level is the number of tokens in the asking coordinator's bucket, less those that nodes asked for in
	// vain.
	Level float64 `cbor:"2,keyasint"`
	// Coordinators is the number of the customer's coordinators.
	Coordinators int `cbor:"3,keyasint"`
}

// Transfer is the answer to a TransferRequest. The tokens count for TTL since the request was sent.
type Transfer struct {
	Tokens float64       `cbor:"1,keyasint"`
	TTL    time.Duration `cbor:"2,keyasint"`
}

// transfer is a number of tokens, and with it a part of the burst, that has passed between two coordinators.
type transfer struct {
	tokens float64
	until  time.Time
}

// total returns how many tokens of transfers count at now.
func total(transfers []transfer, now time.Time) float64 {
	sum := 0.0
	for _, t := range transfers {
		if now.Before(t.until) {
			sum += t.tokens
		}
	}
	return sum
}

// forgetTransfers removes the transfers that no longer count.
func (b *Bucket) forgetTransfers(now time.Time) {
	isOver := func(t transfer) bool { return !now.Before(t.until) }
	b.given = slices.DeleteFunc(b.given, isOver)
	b.received = slices.DeleteFunc(b.received, isOver)
}

// outstanding returns for how long tokens that others received from this coordinator may still be held.
func (b *Bucket) outstanding(now time.Time) time.Duration {
	longest := time.Duration(0)
	for _, t := range b.given {
		longest = max(longest, t.until.Sub(now))
	}
	return longest
}

// level returns the number of tokens in the bucket, less those that nodes asked for in vain.
func (b *Bucket) level(now time.Time) float64 {
	b.fill(now)
	return b.tokens - b.totalShortfall(now)
}

// IsLow reports whether the bucket holds so few tokens that others should be asked for some, and returns
// the request.
func (b *Bucket) IsLow(customer string, coordinators int, now time.Time) (TransferRequest, bool) {
	level := b.level(now)
	return TransferRequest{Customer: customer, Level: level, Coordinators: coordinators},
		level < max(1, lowLevelShare*b.limit.Burst*b.Lent(now))
}

// Give takes tokens out of the bucket for another coordinator, so many that both are left with the same
// level if all coordinators give alike, but at least what its nodes asked for in vain if none did here.
// The tokens count as held until no node holds them any more. They count at the other coordinator no longer
// than what backs them here.
func (b *Bucket) Give(r TransferRequest, now time.Time) Transfer {
	level := b.level(now)
	coordinators := float64(max(2, r.Coordinators))
	tokens := (level - r.Level) / coordinators
	if level >= b.tokens {
		tokens = max(tokens, -r.Level/(coordinators-1))
	}
	tokens = min(tokens, b.tokens-b.urgentReserve(now))
	ttl := b.backedFor(now)
	if tokens <= 0 || ttl <= 0 || now.Before(b.grantsFrom) {
		return Transfer{}
	}
	b.tokens -= tokens
	b.given = append(b.given, transfer{tokens: tokens, until: now.Add(ttl + GrantTTL)})
	return Transfer{Tokens: tokens, TTL: ttl}
}

// backedFor returns for how long everything lent or transferred to this coordinator still counts, but at
// most TransferTTL.
func (b *Bucket) backedFor(now time.Time) time.Duration {
	ttl := TransferTTL
	for _, n := range b.nodes {
		if now.Before(n.lentUntil) {
			ttl = min(ttl, n.lentUntil.Sub(now))
		}
	}
	for _, t := range b.received {
		ttl = min(ttl, t.until.Sub(now))
	}
	return ttl
}

// Receive adds tokens from another coordinator in answer to a request that was sent at sentAt.
func (b *Bucket) Receive(t Transfer, sentAt, now time.Time) {
	b.fill(now)
	until := sentAt.Add(t.TTL)
	if t.Tokens <= 0 || !now.Before(until) {
		return
	}
	b.received = append(b.received, transfer{tokens: t.Tokens, until: until})
	previous := b.tokens
	b.tokens += t.Tokens
	b.fill(now)
	b.reserve(b.tokens-previous, now)
}

// GrantMore grants a node what is missing of its report, which was granted tokens before the bucket
// received some from others. It does not prolong the loan.
func (b *Bucket) GrantMore(node string, r Report, granted float64, now time.Time) float64 {
	r.Returned, r.Lent = 0, false
	r.Held += granted
	more := b.HandleReport(node, r, now)
	if more < 0 {
		b.nodes[node].held = r.Held
		return granted
	}
	return granted + more
}
