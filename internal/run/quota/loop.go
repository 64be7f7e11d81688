package quota

import (
	"context"
	"time"

	"github.com/fxamacker/cbor/v2"

	"crocusyoke/internal/controller/membership"
	"crocusyoke/internal/controller/quota"
	"crocusyoke/internal/ownership"
	"crocusyoke/internal/peer"
)

const (
	// tickInterval is the delay between two checks for due reports.
	tickInterval = 50 * time.Millisecond
	// reportInterval is the time between two reports to a coordinator; urgentReportInterval
	// is the time between reports of customers that are low on tokens.
	reportInterval       = 150 * time.Millisecond
	urgentReportInterval = 20 * time.Millisecond
	// callTimeout bounds one report. It must be below quota.MaxReportDelay, the longest time
	// for which the lending protocol lets a report be in transit.
	callTimeout = 150 * time.Millisecond
	// maxNodesSharedCoordinator is the largest number of nodes for which a single node
	// coordinates all customers, so that their reports share messages. In larger fleets
	// each customer has its own coordinator.
	maxNodesSharedCoordinator = 32
)

// Run maintains the node's tokens until ctx ends and returns after its last call has ended.
func (r *Runner) Run(ctx context.Context) error {
	defer r.wait.Wait()
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		r.refresh(r.o.View())
		r.sendDueReports(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		case <-r.wake:
		}
	}
}

// refresh applies the current configuration and list of nodes.
func (r *Runner) refresh(view *membership.View) {
	now := r.now()
	r.applyConfig(now)
	listed := view.Listed()
	var live []ownership.Node
	for _, s := range *r.customers.Load() {
		if s.seenView == view {
			continue
		}
		if live == nil {
			live = ownershipNodes(view.Live())
		}
		own, each := quota.Share(s.customer, r.o.Self, listed)
		s.mu.Lock()
		s.seenView = view
		s.coordinator = coordinator(s.customer, live)
		s.account.SetCoordinator(s.coordinator)
		s.account.SetShare(own, now)
		s.bucket.SetShare(each, now)
		s.mu.Unlock()
	}
}

// coordinator returns the name of the customer's coordinator among nodes, or "" if there
// are none.
func coordinator(customer string, nodes []ownership.Node) string {
	if len(nodes) <= maxNodesSharedCoordinator {
		customer = ""
	}
	return ownership.Owner("quota/"+customer, "", nodes)
}

func ownershipNodes(members []membership.Member) []ownership.Node {
	nodes := make([]ownership.Node, 0, len(members))
	for _, m := range members {
		nodes = append(nodes, ownership.Node{Name: m.Name, Domain: m.Domain})
	}
	return nodes
}

// sendDueReports sends the reports that are due, in one message for each coordinator. It
// reports all customers of a coordinator every reportInterval; in between, it reports only
// customers that are low on tokens. If a customer's share is still lent to a former
// coordinator, the report goes there and recalls the loan, unless that node has already
// left such a report unanswered.
func (r *Runner) sendDueReports(ctx context.Context) {
	now := r.now()
	all := make(map[string][]*customerQuota)
	urgent := make(map[string][]*customerQuota)
	changed := 0
	for _, s := range *r.customers.Load() {
		s.mu.Lock()
		name := s.coordinator
		if s.account.IsLentElsewhere(s.borrower, now) && !s.recallUnanswered {
			name = s.borrower
		}
		if s.account.NeedsTokens(now) {
			urgent[name] = append(urgent[name], s)
		}
		if own := s.account.UsesOwnShare(now); own != s.usesOwnShare {
			s.usesOwnShare = own
			changed++
		}
		s.mu.Unlock()
		all[name] = append(all[name], s)
	}
	r.logOwnShare(changed)
	for name, batch := range all {
		if name == "" {
			continue
		}
		if batch = r.beginReport(name, batch, urgent[name], now); len(batch) > 0 {
			r.wait.Go(func() { r.sendReports(ctx, name, batch) })
		}
	}
}

// logOwnShare logs that this node has begun or stopped using its own share of some
// customers' rates, which it otherwise lends to the coordinators. changed is the number of
// these customers; nothing is logged if it is 0.
func (r *Runner) logOwnShare(changed int) {
	if changed == 0 {
		return
	}
	own, coordinators := 0, make(map[string]bool)
	for _, s := range *r.customers.Load() {
		coordinators[s.coordinator] = true
		if s.usesOwnShare {
			own++
		}
	}
	Counters.Add("own_share", int64(changed))
	_ = r.o.Logger.Log("event", "quota", "changed", changed, "own_share", own, "coordinators", len(coordinators))
}

// beginReport returns the customers to include in a message to the coordinator and marks
// the message as in flight. It returns none if no message is due or one is in flight.
func (r *Runner) beginReport(name string, all, urgent []*customerQuota, now time.Time) []*customerQuota {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.inFlight[name] {
		return nil
	}
	if now.Before(r.dueAt[name]) {
		if len(urgent) == 0 || now.Before(r.urgentDueAt[name]) {
			return nil
		}
		all = urgent
	} else {
		r.dueAt[name] = now.Add(reportInterval)
	}
	r.inFlight[name] = true
	r.urgentDueAt[name] = now.Add(urgentReportInterval)
	return all
}

// sendReports reports the customers in batch to one coordinator. It applies the grants in
// the answer. Where a report recalled a loan, the answer only confirms the recall.
func (r *Runner) sendReports(ctx context.Context, name string, batch []*customerQuota) {
	r.mu.Lock()
	leaving := r.leaving
	r.mu.Unlock()
	sentAt := r.now()
	reports := r.buildReports(name, batch, leaving, sentAt)
	granted, err := r.callCoordinator(ctx, name, reports)
	for i, s := range batch {
		s.mu.Lock()
		switch {
		case err != nil:
			s.account.RecordUnanswered()
			s.recallUnanswered = s.recallUnanswered || reports[i].RecallsLoan
		case reports[i].RecallsLoan:
			s.account.ConfirmRecall(r.now())
		default:
			s.account.ApplyGrant(granted[i], reports[i].Held, sentAt, r.now())
		}
		s.mu.Unlock()
	}
	if err != nil {
		increment("report_errors")
	}
	r.mu.Lock()
	r.inFlight[name] = false
	r.mu.Unlock()
}

func (r *Runner) buildReports(name string, batch []*customerQuota, leaving bool, now time.Time) []quota.Report {
	reports := make([]quota.Report, len(batch))
	for i, s := range batch {
		s.mu.Lock()
		if name == s.coordinator {
			reports[i] = s.account.Report(s.customer, s.borrower, leaving, now)
		} else {
			reports[i] = s.account.RecallReport(s.customer, now)
		}
		if reports[i].Lent {
			s.borrower, s.recallUnanswered = name, false
		}
		s.mu.Unlock()
	}
	return reports
}

// callCoordinator sends reports to a coordinator, which may be this node, and returns the
// tokens granted for each.
func (r *Runner) callCoordinator(ctx context.Context, name string, reports []quota.Report) ([]float64, error) {
	if name == r.o.Self {
		return r.grantTokens(name, reports), nil
	}
	to, ok := r.o.View().Member(name)
	if !ok {
		return nil, Error.New("coordinator %s is not listed", name)
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	increment("reports")
	var answer shareReply
	err := r.o.Peers.Call(ctx, to.Address, peer.KindQuotaReport, shareRequest{From: r.o.Self, To: name, Reports: reports}, &answer)
	if err != nil {
		return nil, Error.New("report to %s: %w", name, err)
	}
	if len(answer.Granted) != len(reports) {
		return nil, Error.New("report to %s: %d grants for %d reports", name, len(answer.Granted), len(reports))
	}
	return answer.Granted, nil
}

// grantTokens returns the tokens granted for reports about customers that this node
// coordinates.
func (r *Runner) grantTokens(node string, reports []quota.Report) []float64 {
	now := r.now()
	all := *r.customers.Load()
	granted := make([]float64, len(reports))
	for i, report := range reports {
		s := all[report.Customer]
		if s == nil {
			continue
		}
		s.mu.Lock()
		granted[i] = s.bucket.HandleReport(node, report, now)
		s.mu.Unlock()
	}
	return granted
}

// HandleShare handles peer.KindQuotaReport; it is a peer.ServeFunc.
func (r *Runner) HandleShare(_ context.Context, _ string, payload []byte) (any, error) {
	var req shareRequest
	if err := cbor.Unmarshal(payload, &req); err != nil {
		return nil, Error.New("report: %w", err)
	}
	if req.To != r.o.Self {
		return nil, Error.New("report for %s was delivered to %s", req.To, r.o.Self)
	}
	return shareReply{Granted: r.grantTokens(req.From, req.Reports)}, nil
}

// ReturnTokens returns all tokens to the coordinators before the node stops. It is the step
// drain.HandOverShares of a graceful stop.
func (r *Runner) ReturnTokens(ctx context.Context) error {
	r.mu.Lock()
	r.leaving = true
	r.mu.Unlock()
	batches := make(map[string][]*customerQuota)
	for _, s := range *r.customers.Load() {
		s.mu.Lock()
		batches[s.coordinator] = append(batches[s.coordinator], s)
		s.mu.Unlock()
	}
	for name, batch := range batches {
		if name != "" && name != r.o.Self {
			r.sendReports(ctx, name, batch)
		}
	}
	return nil
}
