package quota

import (
	"context"
	"sync"
	"time"

	"crocusyoke/internal/controller/quota"
	"crocusyoke/internal/peer"
)

const (
	// exchangeTimeout bounds a request for tokens of another coordinator. A node waits meanwhile.
	exchangeTimeout = 50 * time.Millisecond
	// A coordinator asks the others about a customer again after exchangeInterval if that brought less than a
	// token. If it brought nothing, it waits for minExchangeBackoff, then twice as long up to
	// maxExchangeBackoff.
	exchangeInterval   = 20 * time.Millisecond
	minExchangeBackoff = 40 * time.Millisecond
	maxExchangeBackoff = 400 * time.Millisecond
)

// exchange is a round of requests to the other coordinators for tokens of a customer.
type exchange struct {
	request quota.TransferRequest
	done    chan struct{}
}

// storeOthers makes the other coordinators of each partition known to the handlers of reports.
func (r *Runner) storeOthers() {
	others := &otherCoordinators{isSplit: r.isSplit, byPartition: make([][]string, len(r.partitions))}
	for i, p := range r.partitions {
		others.byPartition[i] = p.others
	}
	r.others.Store(others)
}

// otherCoordinators are the coordinators in other failure domains for each partition that this node coordinates.
type otherCoordinators struct {
	isSplit     bool
	byPartition [][]string
}

// othersOf returns the other coordinators of a customer that this node coordinates.
func (r *Runner) othersOf(s *customerQuota) []string {
	others := r.others.Load()
	if others == nil || len(others.byPartition) == 0 {
		return nil
	}
	return others.byPartition[s.partitionIndex(others.isSplit, len(others.byPartition))]
}

// grantOthersTokens adds to the tokens that were granted for the reports of a request what the other
// coordinators have of them.
func (r *Runner) grantOthersTokens(ctx context.Context, request *shareRequest, granted []float64) {
	all := *r.customers.Load()
	begun := make(map[*customerQuota]*exchange)
	var missing []int
	for i, report := range request.Reports {
		s := all[report.Customer]
		if s == nil || report.RecallsLoan || granted[i] < 0 || len(r.othersOf(s)) == 0 {
			continue
		}
		if report.Wanted-report.Held-granted[i] < 1 {
			continue
		}
		missing = append(missing, i)
		if x := r.beginExchange(s); x != nil {
			begun[s] = x
		}
	}
	r.carryOut(ctx, begun)
	for _, i := range missing {
		s := all[request.Reports[i].Customer]
		s.awaitExchange(ctx)
		s.mu.Lock()
		granted[i] = s.bucket.GrantMore(request.From, request.Reports[i], granted[i], r.now())
		s.mu.Unlock()
	}
}

// beginExchange returns a new exchange about s, or nil if there is one, it is too early for the next, or
// enough tokens are left.
func (r *Runner) beginExchange(s *customerQuota) *exchange {
	now := r.now()
	others := r.othersOf(s)
	s.mu.Lock()
	defer s.mu.Unlock()
	request, low := s.bucket.IsLow(s.customer, len(others)+1, now)
	if len(others) == 0 || s.exchange != nil || now.Before(s.nextExchangeAt) || !low {
		return nil
	}
	s.exchange = &exchange{request: request, done: make(chan struct{})}
	return s.exchange
}

// carryOut sends the requests of exchanges, one message to each other coordinator, and adds what it gives.
func (r *Runner) carryOut(ctx context.Context, begun map[*customerQuota]*exchange) {
	if len(begun) == 0 {
		return
	}
	byOther := make(map[string][]*customerQuota)
	for s := range begun {
		for _, other := range r.othersOf(s) {
			byOther[other] = append(byOther[other], s)
		}
	}
	var mu sync.Mutex
	gained := make(map[*customerQuota]float64)
	var calls sync.WaitGroup
	for other, customers := range byOther {
		calls.Go(func() {
			for s, tokens := range r.askForTransfers(ctx, other, customers, begun) {
				mu.Lock()
				gained[s] += tokens
				mu.Unlock()
			}
		})
	}
	calls.Wait()
	for s, x := range begun {
		s.endExchange(x, gained[s], r.now())
	}
}

// askForTransfers asks one coordinator for tokens and returns how many it gave.
func (r *Runner) askForTransfers(
	ctx context.Context, other string, customers []*customerQuota, begun map[*customerQuota]*exchange,
) map[*customerQuota]float64 {
	request := shareRequest{From: r.o.Self, To: other}
	for _, s := range customers {
		request.Transfers = append(request.Transfers, begun[s].request)
	}
	to, ok := r.o.View().Member(other)
	if !ok {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	increment("transfers")
	sentAt := r.now()
	var answer shareReply
	err := r.o.Peers.Call(ctx, to.Address, peer.KindQuotaReport, request, &answer)
	if err != nil || len(answer.Transferred) != len(customers) {
		increment("transfer_errors")
		return nil
	}
	gained := make(map[*customerQuota]float64)
	for i, s := range customers {
		s.mu.Lock()
		s.bucket.Receive(answer.Transferred[i], sentAt, r.now())
		s.mu.Unlock()
		gained[s] = answer.Transferred[i].Tokens
	}
	return gained
}

// endExchange records the end of an exchange that brought the given number of tokens.
func (s *customerQuota) endExchange(x *exchange, gained float64, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.exchange = nil
	close(x.done)
	switch {
	case gained >= 1:
		s.exchangeBackoff, s.nextExchangeAt = 0, now
		return
	case gained > 0:
		s.exchangeBackoff = exchangeInterval
	default:
		s.exchangeBackoff = min(maxExchangeBackoff, max(minExchangeBackoff, 2*s.exchangeBackoff))
	}
	s.nextExchangeAt = now.Add(s.exchangeBackoff)
}

// awaitExchange waits until the exchange that is under way has ended.
func (s *customerQuota) awaitExchange(ctx context.Context) {
	s.mu.Lock()
	x := s.exchange
	s.mu.Unlock()
	if x == nil {
		return
	}
	select {
	case <-x.done:
	case <-ctx.Done():
	}
}

// giveTokens answers requests of another coordinator for tokens.
func (r *Runner) giveTokens(requests []quota.TransferRequest) []quota.Transfer {
	all := *r.customers.Load()
	transfers := make([]quota.Transfer, len(requests))
	for i, request := range requests {
		if s := all[request.Customer]; s != nil {
			s.mu.Lock()
			transfers[i] = s.bucket.Give(request, r.now())
			s.mu.Unlock()
		}
	}
	return transfers
}
