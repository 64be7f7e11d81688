package quota

import (
	"context"
	"time"

	"github.com/fxamacker/cbor/v2"

	"crocusyoke/internal/controller/quota"
	"crocusyoke/internal/peer"
)

// message is one message with reports to one node.
type message struct {
	to string
	// customers are those that the message concerns. The first ones have the reports; the others
	// are only lent, by lendsRest.
	customers []*customerQuota
	reports   []quota.Report
	// lendsRest and the fields after it are as in shareRequest.
	lendsRest             bool
	partition, partitions int
	isSplit               bool
	configVersion         uint64
	// leaving is true if the node is stopping and returns all tokens.
	leaving bool
	sentAt  time.Time
}

// add adds a customer with a report of its own.
func (m *message) add(s *customerQuota, report quota.Report) {
	m.customers = append(m.customers, s)
	m.reports = append(m.reports, report)
}

// partitionOf returns the partition of s, or nil if there are none yet.
func (r *Runner) partitionOf(s *customerQuota) *partition {
	if len(r.partitions) == 0 {
		return nil
	}
	return r.partitions[s.partitionIndex(r.isSplit, len(r.partitions))]
}

// report sends what there is to say about customers of p. isWhole is true if these are all
// customers of the partition.
func (r *Runner) report(ctx context.Context, p *partition, customers []*customerQuota, isWhole bool, now time.Time) {
	if isWhole {
		p.urgentDueAt = now.Add(urgentReportInterval)
	}
	messages, recalled := r.recallLoans(customers, now)
	current := r.newMessage(p.coordinator, now)
	current.partition, current.partitions = p.index, len(r.partitions)
	current.isSplit, current.configVersion = r.isSplit, r.limitsVersion.Load()
	var lentOnly []*customerQuota
	for _, s := range customers {
		if recalled[s] {
			continue
		}
		report, needed := s.newReport(p.coordinator, current.leaving, now)
		switch {
		case !needed:
		case isWhole && len(recalled) == 0 && isLoanOnly(report):
			lentOnly = append(lentOnly, s)
		default:
			current.add(s, report)
		}
	}
	if current.lendsRest = len(lentOnly) > 0; current.lendsRest {
		current.customers = append(current.customers, lentOnly...)
	}
	if len(current.customers) > 0 {
		messages = append(messages, current)
	}
	if isWhole {
		customers = nil
	}
	r.send(ctx, p, messages, customers)
}

func (r *Runner) newMessage(to string, now time.Time) *message {
	r.mu.Lock()
	defer r.mu.Unlock()
	return &message{to: to, sentAt: now, leaving: r.leaving}
}

// recallLoans returns messages to the former coordinators that the shares of customers are still
// lent to, one for each, and the customers whose loans they recall. A node that has left such a
// message unanswered gets no other.
func (r *Runner) recallLoans(customers []*customerQuota, now time.Time) (messages []*message, recalled map[*customerQuota]bool) {
	byBorrower := make(map[string]*message)
	recalled = make(map[*customerQuota]bool)
	for _, s := range customers {
		s.mu.Lock()
		if s.account.IsLentElsewhere(s.borrower, now) && !s.recallUnanswered {
			m := byBorrower[s.borrower]
			if m == nil {
				m = r.newMessage(s.borrower, now)
				byBorrower[s.borrower] = m
				messages = append(messages, m)
			}
			m.add(s, s.account.RecallReport(s.customer, now))
			recalled[s] = true
		}
		s.mu.Unlock()
	}
	return messages, recalled
}

// newReport returns the customer's report to the coordinator. needed is false if there is nothing
// to say, not even that the node's share is lent.
func (s *customerQuota) newReport(coordinator string, leaving bool, now time.Time) (report quota.Report, needed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.isSilent(now) && !leaving {
		return quota.Report{}, false
	}
	report = s.account.Report(s.customer, s.borrower, leaving, now)
	if report.Lent {
		s.borrower, s.recallUnanswered = coordinator, false
	}
	return report, true
}

// isLoanOnly reports whether a report says nothing but that the node's share is lent.
func isLoanOnly(report quota.Report) bool {
	return report == quota.Report{Customer: report.Customer, Lent: true}
}

// isSilent reports whether there is nothing to say about the customer, not even a loan. s.mu is
// held.
func (s *customerQuota) isSilent(now time.Time) bool {
	return s.account.IsIdle(now) && !s.account.IsShareholder()
}

// send sends messages about p one after the other in the background. p is in flight until all
// have been answered or have failed. asking are the customers that they are about; it is empty if these are
// all customers of p.
func (r *Runner) send(ctx context.Context, p *partition, messages []*message, asking []*customerQuota) {
	if len(messages) == 0 {
		return
	}
	r.setInFlight(p, asking, true)
	r.wait.Go(func() {
		for _, m := range messages {
			r.deliver(ctx, m)
		}
		if len(asking) == 0 && r.hasUnlentShares(messages) {
			r.mu.Lock()
			p.isDueAtOnce = true
			r.mu.Unlock()
		}
		r.setInFlight(p, asking, false)
		r.Wake()
	})
}

// hasUnlentShares reports whether the node may lend shares now that messages were answered, and should not wait
// for the next report with that: the coordinator has answered for the first time.
func (r *Runner) hasUnlentShares(messages []*message) bool {
	now := r.now()
	for _, m := range messages {
		for _, s := range m.customers {
			s.mu.Lock()
			has := s.account.HasUnlentShare(now)
			s.mu.Unlock()
			if has {
				return true
			}
		}
	}
	return false
}

func (r *Runner) setInFlight(p *partition, asking []*customerQuota, inFlight bool) {
	for _, s := range asking {
		s.mu.Lock()
		s.inFlight = inFlight
		s.mu.Unlock()
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case len(asking) == 0:
		p.isWholeInFlight = inFlight
	case inFlight:
		p.asksInFlight++
	default:
		p.asksInFlight--
	}
}

// deliver sends one message and applies the answer. Where a report recalled a loan, the answer
// only confirms the recall.
func (r *Runner) deliver(ctx context.Context, m *message) {
	reply, err := r.callCoordinator(ctx, m)
	if err != nil {
		increment("report_errors")
	}
	granted := reply.Granted
	for i, s := range m.customers {
		s.mu.Lock()
		isRecall := i < len(m.reports) && m.reports[i].RecallsLoan
		switch {
		case err != nil:
			s.account.RecordUnanswered()
			s.recallUnanswered = s.recallUnanswered || isRecall
		case isRecall:
			s.account.ConfirmRecallFrom(seconds(granted[i]), r.now())
		case i < len(m.reports):
			s.account.SetForgetsLapsed(reply.ForgetsLapsed)
			s.account.ApplyGrant(granted[i], m.reports[i].Held, m.sentAt, r.now())
			s.signalGranted()
		default:
			s.account.ApplyGrant(0, 0, m.sentAt, r.now())
		}
		s.mu.Unlock()
	}
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// callCoordinator sends m to a coordinator, which may be this node, and returns its answer with
// the tokens granted for each report.
func (r *Runner) callCoordinator(ctx context.Context, m *message) (shareReply, error) {
	request := shareRequest{
		From: r.o.Self, To: m.to, Reports: m.reports,
		LendsRest: m.lendsRest, Partition: m.partition, Partitions: m.partitions,
		IsSplit: m.isSplit, ConfigVersion: m.configVersion,
	}
	if m.to == r.o.Self {
		return shareReply{Granted: r.grantTokens(ctx, &request), ForgetsLapsed: true}, nil
	}
	to, ok := r.o.View().Member(m.to)
	if !ok {
		return shareReply{}, Error.New("coordinator %s is not listed", m.to)
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	increment("reports")
	var answer shareReply
	if err := r.o.Peers.Call(ctx, to.Address, peer.KindQuotaReport, request, &answer); err != nil {
		return shareReply{}, Error.New("report to %s: %w", m.to, err)
	}
	if len(answer.Granted) != len(m.reports) {
		return shareReply{}, Error.New("report to %s: %d grants for %d reports", m.to, len(answer.Granted), len(m.reports))
	}
	return answer, nil
}

// grantTokens returns the tokens granted for the reports of a request about customers that this
// node coordinates. Where its own bucket has too few, it asks the other coordinators first.
func (r *Runner) grantTokens(ctx context.Context, request *shareRequest) []float64 {
	granted := r.grantOwnTokens(request)
	r.grantOthersTokens(ctx, request, granted)
	return granted
}

// grantOwnTokens is grantTokens from this node's own buckets.
func (r *Runner) grantOwnTokens(request *shareRequest) []float64 {
	now := r.now()
	all := *r.customers.Load()
	granted := make([]float64, len(request.Reports))
	reported := make(map[string]bool, len(request.Reports))
	for i, report := range request.Reports {
		reported[report.Customer] = true
		if s := all[report.Customer]; s != nil {
			granted[i] = s.handleReport(request.From, report, now)
		}
	}
	if !request.LendsRest || request.IsSplit && request.ConfigVersion != r.limitsVersion.Load() {
		return granted
	}
	for name, s := range all {
		if !reported[name] && s.partitionIndex(request.IsSplit, request.Partitions) == request.Partition {
			s.handleReport(request.From, quota.Report{Customer: name, Lent: true}, now)
		}
	}
	return granted
}

func (s *customerQuota) handleReport(node string, report quota.Report, now time.Time) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.bucket.HandleReport(node, report, now)
}

// HandleShare handles peer.KindQuotaReport; it is a peer.ServeFunc.
func (r *Runner) HandleShare(ctx context.Context, _ string, payload []byte) (any, error) {
	var request shareRequest
	if err := cbor.Unmarshal(payload, &request); err != nil {
		return nil, Error.New("report: %w", err)
	}
	if request.To != r.o.Self {
		return nil, Error.New("report for %s was delivered to %s", request.To, r.o.Self)
	}
	return shareReply{
		Granted: r.grantTokens(ctx, &request), ForgetsLapsed: true, Transferred: r.giveTokens(request.Transfers),
	}, nil
}

// ReturnTokens returns all tokens to the coordinators before the node stops. It is the step
// drain.HandOverShares of a graceful stop.
func (r *Runner) ReturnTokens(ctx context.Context) error {
	r.mu.Lock()
	r.leaving = true
	r.mu.Unlock()
	now := r.now()
	byCoordinator := make(map[string]*message)
	for _, s := range *r.customers.Load() {
		s.mu.Lock()
		coordinator := s.coordinator
		s.mu.Unlock()
		if coordinator == "" || coordinator == r.o.Self {
			continue
		}
		m := byCoordinator[coordinator]
		if m == nil {
			m = r.newMessage(coordinator, now)
			byCoordinator[coordinator] = m
		}
		if report, needed := s.newReport(coordinator, true, now); needed {
			m.add(s, report)
		}
	}
	for _, m := range byCoordinator {
		r.deliver(ctx, m)
	}
	return nil
}
