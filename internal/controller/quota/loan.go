package quota

import "time"

// IsLentElsewhere reports whether the share is still lent to borrower, a former coordinator.
func (a *Account) IsLentElsewhere(borrower string, now time.Time) bool {
	return borrower != "" && borrower != a.coordinator && now.Before(a.lentUntil)
}

// RecallReport returns the report that recalls the loan from a former coordinator.
func (a *Account) RecallReport(customer string, now time.Time) Report {
	a.advance(now)
	a.requested = 0
	return Report{Customer: customer, Held: a.held(), RecallsLoan: true, Lapses: !a.IsShareholder()}
}

// ConfirmRecall records that the former coordinator has answered the report that RecallReport
// returned. The node may use or lend its share again after GrantTTL, or when the loan ends for
// the lender if that is earlier. By then no node holds tokens that were granted while the
// share was lent.
func (a *Account) ConfirmRecall(now time.Time) { a.ConfirmRecallFrom(0, now) }

// ConfirmRecallFrom is ConfirmRecall where tokens that the former coordinator transferred to others are
// backed by the share for the time outstanding.
func (a *Account) ConfirmRecallFrom(outstanding time.Duration, now time.Time) {
	a.lentUntil = earlier(a.lentUntil, now.Add(max(GrantTTL, outstanding)))
	a.unanswered = 0
	a.advance(now)
}

// HasUnlentShare reports whether the node is entitled to a share that it may lend to its coordinator now, but has
// not lent.
func (a *Account) HasUnlentShare(now time.Time) bool {
	return a.IsShareholder() && a.unanswered < maxUnanswered && !now.Before(a.lentUntil)
}

// IsShareholder reports whether the node is entitled to a share of the customer's limit.
func (a *Account) IsShareholder() bool { return a.share.Own > 0 }

// canLend reports whether the share may be lent to the current coordinator. This node must be
// a shareholder, the coordinator must have answered the last report, and either the share was
// last lent to this coordinator or the last loan has ended.
func (a *Account) canLend(borrower string, now time.Time) bool {
	if a.share.Own <= 0 || a.unanswered >= maxUnanswered {
		return false
	}
	return borrower == a.coordinator || !now.Before(a.lentUntil)
}
