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

// Times of the loop.
const (
	// tickEvery is the pause between two looks for what is due.
	tickEvery = 50 * time.Millisecond
	// reportEvery is the time between two reports to a coordinator, urgentEvery where a
	// customer has run out of tokens.
	reportEvery = 150 * time.Millisecond
	urgentEvery = 20 * time.Millisecond
	// callTimeout bounds one report; it is below quota.ArrivalSlack.
	callTimeout = 150 * time.Millisecond
	// perCustomerNodes is the number of nodes from which on customers have coordinators of
	// their own. In smaller fleets one node coordinates all, so that reports travel together.
	perCustomerNodes = 32
)

// Run keeps the node's tokens until ctx ends and returns after its last call has ended.
func (r *Runner) Run(ctx context.Context) error {
	defer r.wait.Wait()
	ticker := time.NewTicker(tickEvery)
	defer ticker.Stop()
	for {
		r.sync(r.o.View())
		r.report(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		case <-r.kick:
		}
	}
}

// sync takes in the configuration and the list of nodes.
func (r *Runner) sync(view *membership.View) {
	now := r.now()
	r.configure(now)
	listed := view.Listed()
	var live []ownership.Node
	for _, s := range *r.slots.Load() {
		if s.seen == view {
			continue
		}
		if live == nil {
			live = nodesOf(view.Live())
		}
		own, each := quota.Share(s.customer, r.o.Self, listed)
		s.mu.Lock()
		s.seen = view
		s.coordinator = coordinator(s.customer, live)
		s.account.SetCoordinator(s.coordinator)
		s.account.SetShare(own, now)
		s.pool.SetShare(each, now)
		s.mu.Unlock()
	}
}

// coordinator returns the name of the customer's coordinator among nodes.
func coordinator(customer string, nodes []ownership.Node) string {
	if len(nodes) <= perCustomerNodes {
		customer = ""
	}
	return ownership.Owner("quota/"+customer, "", nodes)
}

func nodesOf(members []membership.Member) []ownership.Node {
	nodes := make([]ownership.Node, 0, len(members))
	for _, m := range members {
		nodes = append(nodes, ownership.Node{Name: m.Name, Domain: m.Domain})
	}
	return nodes
}

// report sends the reports that are due, one message for each coordinator: those of all its
// customers each reportEvery, in between only those of customers that have run out of tokens.
func (r *Runner) report(ctx context.Context) {
	now := r.now()
	all := make(map[string][]*slot)
	hungry := make(map[string][]*slot)
	changed := 0
	for _, s := range *r.slots.Load() {
		s.mu.Lock()
		name := s.coordinator
		if s.account.LentElsewhere(s.lender, now) && !s.lost {
			name = s.lender
		}
		if s.account.Hungry(now) {
			hungry[name] = append(hungry[name], s)
		}
		if own := s.account.Own(now); own != s.own {
			s.own = own
			changed++
		}
		s.mu.Unlock()
		all[name] = append(all[name], s)
	}
	r.noteOwn(changed)
	for name, batch := range all {
		if name == "" {
			continue
		}
		if batch = r.begin(name, batch, hungry[name], now); len(batch) > 0 {
			r.wait.Go(func() { r.send(ctx, name, batch) })
		}
	}
}

// noteOwn logs that the node uses its own share of some customers' rates, or lends it again.
func (r *Runner) noteOwn(changed int) {
	if changed == 0 {
		return
	}
	own, coordinators := 0, make(map[string]bool)
	for _, s := range *r.slots.Load() {
		coordinators[s.coordinator] = true
		if s.own {
			own++
		}
	}
	Counters.Add("own_share", int64(changed))
	_ = r.o.Logger.Log("event", "quota", "changed", changed, "own_share", own, "coordinators", len(coordinators))
}

// begin returns the customers of a message to the coordinator that is due, and marks it as
// under way.
func (r *Runner) begin(name string, all, hungry []*slot, now time.Time) []*slot {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.busy[name] {
		return nil
	}
	if now.Before(r.due[name]) {
		if len(hungry) == 0 || now.Before(r.urgentDue[name]) {
			return nil
		}
		all = hungry
	} else {
		r.due[name] = now.Add(reportEvery)
	}
	r.busy[name] = true
	r.urgentDue[name] = now.Add(urgentEvery)
	return all
}

// send reports the customers of one coordinator and takes in what it grants.
func (r *Runner) send(ctx context.Context, name string, batch []*slot) {
	r.mu.Lock()
	leaving := r.leaving
	r.mu.Unlock()
	sentAt := r.now()
	reports := r.reports(name, batch, leaving, sentAt)
	granted, err := r.ask(ctx, name, reports)
	for i, s := range batch {
		s.mu.Lock()
		switch {
		case err != nil:
			s.account.Unheard()
			s.lost = s.lost || reports[i].TakenBack
		case reports[i].TakenBack:
			s.account.TakenBack(r.now())
		default:
			s.account.Granted(granted[i], reports[i].Held, sentAt, r.now())
		}
		s.mu.Unlock()
	}
	if err != nil {
		count("report_errors")
	}
	r.mu.Lock()
	r.busy[name] = false
	r.mu.Unlock()
}

func (r *Runner) reports(name string, batch []*slot, leaving bool, now time.Time) []quota.Report {
	reports := make([]quota.Report, len(batch))
	for i, s := range batch {
		s.mu.Lock()
		if name == s.coordinator {
			reports[i] = s.account.Report(s.customer, s.lender, leaving, now)
		} else {
			reports[i] = s.account.TakeBack(s.customer, now)
		}
		if reports[i].Lent {
			s.lender, s.lost = name, false
		}
		s.mu.Unlock()
	}
	return reports
}

// ask carries reports to a coordinator, which may be this node.
func (r *Runner) ask(ctx context.Context, name string, reports []quota.Report) ([]float64, error) {
	if name == r.o.Self {
		return r.grant(name, reports), nil
	}
	to, ok := r.o.View().Member(name)
	if !ok {
		return nil, Error.New("coordinator %s is not listed", name)
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	count("reports")
	var answer reply
	err := r.o.Peers.Call(ctx, to.Address, peer.KindShare, request{From: r.o.Self, To: name, Reports: reports}, &answer)
	if err != nil {
		return nil, Error.New("report to %s: %w", name, err)
	}
	if len(answer.Granted) != len(reports) {
		return nil, Error.New("report to %s: %d answers to %d reports", name, len(answer.Granted), len(reports))
	}
	return answer.Granted, nil
}

// grant answers reports for the customers that this node coordinates.
func (r *Runner) grant(node string, reports []quota.Report) []float64 {
	now := r.now()
	all := *r.slots.Load()
	granted := make([]float64, len(reports))
	for i, report := range reports {
		s := all[report.Customer]
		if s == nil {
			continue
		}
		s.mu.Lock()
		granted[i] = s.pool.Report(node, report, now)
		s.mu.Unlock()
	}
	return granted
}

// HandleShare answers peer.KindShare; it is a peer.ServeFunc.
func (r *Runner) HandleShare(_ context.Context, _ string, payload []byte) (any, error) {
	var req request
	if err := cbor.Unmarshal(payload, &req); err != nil {
		return nil, Error.New("report: %w", err)
	}
	if req.To != r.o.Self {
		return nil, Error.New("report for %s reached %s", req.To, r.o.Self)
	}
	return reply{Granted: r.grant(req.From, req.Reports)}, nil
}

// GiveAway returns all tokens to the coordinators before the node stops.
func (r *Runner) GiveAway(ctx context.Context) error {
	r.mu.Lock()
	r.leaving = true
	r.mu.Unlock()
	batches := make(map[string][]*slot)
	for _, s := range *r.slots.Load() {
		s.mu.Lock()
		batches[s.coordinator] = append(batches[s.coordinator], s)
		s.mu.Unlock()
	}
	for name, batch := range batches {
		if name != "" && name != r.o.Self {
			r.send(ctx, name, batch)
		}
	}
	return nil
}
