package quota

import (
	"fmt"
	"slices"
	"time"

	"crocusyoke/internal/controller/membership"
	"crocusyoke/internal/controller/quota"
	"crocusyoke/internal/fleet"
)

// partition is a set of customers with the same coordinator and the same shareholders.
type partition struct {
	index     int
	customers []*customerQuota
	// coordinator is the node that grants the customers' tokens, or "" if no node is alive.
	coordinator string
	share       quota.Share
	// dueAt is when the next message about all customers is due. urgentDueAt is the earliest time
	// for a message that is only about customers that are low on tokens. low holds these
	// customers. wakeAt is the last time for which a wake-up of the loop was scheduled.
	dueAt       time.Time
	urgentDueAt time.Time
	wakeAt      time.Time
	low         map[*customerQuota]bool
	// isWholeInFlight is true while a message about all customers is in flight, asksInFlight is the
	// number of those about single customers, which are then in flight themselves. The Runner's mu guards
	// both.
	isWholeInFlight bool
	asksInFlight    int
	// isDueAtOnce is true if shares can be lent now. It is guarded by mu as well.
	isDueAtOnce bool
	// others are the partition's coordinators in other failure domains, if this node is one of its
	// coordinators.
	others []string
}

// refresh applies the configuration in force and the current list of nodes.
func (r *Runner) refresh(view *membership.View) {
	now := r.now()
	config := r.o.Config.Current()
	if config == nil || config == r.config && view == r.view {
		return
	}
	customersChanged := config != r.config && r.applyCustomers(config, now)
	nodesChanged := r.view == nil || !hasSameNodes(r.view, view)
	r.config, r.view = config, view
	if customersChanged || nodesChanged {
		r.assignPartitions(view, now)
	}
}

// hasSameNodes reports whether two views agree on the listed and on the live nodes.
func hasSameNodes(a, b *membership.View) bool {
	return a.SelfListed == b.SelfListed && slices.EqualFunc(a.Members, b.Members, func(x, y membership.Member) bool {
		return x.Name == y.Name && x.State == y.State
	})
}

// applyCustomers applies the customers of config and reports whether they differ from those
// before. A customer that config does not contain is no longer admitted.
func (r *Runner) applyCustomers(config *fleet.Config, now time.Time) (changed bool) {
	before := *r.customers.Load()
	after := make(customerQuotas, len(config.Customers))
	for i := range config.Customers {
		c := &config.Customers[i]
		s := before[c.Name]
		if s == nil {
			changed = true
			s = r.newCustomerQuota(c.Name, r.config == nil, now)
		}
		changed = s.setLimit(quota.Limit{Rate: c.Rate, Burst: c.Burst}, now) || changed
		after[c.Name] = s
	}
	r.customers.Store(&after)
	r.limitsVersion.Store(config.Version)
	return changed || len(after) != len(before)
}

// newCustomerQuota returns the quota of a customer. isFirst is true if the process had no configuration before, and
// so has not served any customer. Otherwise a message of this node may have lent its share already.
func (r *Runner) newCustomerQuota(customer string, isFirst bool, now time.Time) *customerQuota {
	s := &customerQuota{
		customer: customer,
		account:  quota.NewUnusedAccount(r.startedAt, now),
		bucket:   quota.NewBucket(r.startedAt),
		granted:  make(chan struct{}),
	}
	if !isFirst {
		s.account = quota.NewAccount(now)
		s.account.AssumeLent(now)
		s.bucket = quota.NewBucket(now)
	}
	return s
}

// setLimit applies a limit and reports whether the customer may belong to another partition now.
func (s *customerQuota) setLimit(limit quota.Limit, now time.Time) (moved bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.account.Configure(limit, now)
	s.bucket.Configure(limit, now)
	return s.isSmall.Swap(quota.IsSmall(limit)) != quota.IsSmall(limit)
}

// assignPartitions assigns the customers to partitions, and these to coordinators and
// shareholders. Partitions keep their times and messages in flight if their number is the same.
func (r *Runner) assignPartitions(view *membership.View, now time.Time) {
	listed := view.Listed()
	layout := newLayout(view)
	count := quota.Partitions(len(listed))
	if layout.isSplit() {
		count = quota.SplitPartitions(len(listed))
	}
	if count != len(r.partitions) || layout.isSplit() != r.isSplit {
		r.partitions, r.isSplit = newPartitions(count), layout.isSplit()
	}
	for i, p := range r.partitions {
		key := partitionKey(i, count)
		within := layout
		if layout.isSplit() && !quota.IsDividedByDomain(i, count) {
			within = layout.whole()
		}
		p.customers = p.customers[:0]
		p.coordinator, p.others = within.coordinators(key, r.o.Self)
		p.share = quota.ShareOf(r.o.Self, within.shareholders(key), len(listed))
	}
	r.storeOthers()
	for _, s := range *r.customers.Load() {
		p := r.partitions[s.partitionIndex(r.isSplit, count)]
		p.customers = append(p.customers, s)
		s.join(p, now)
	}
}

// partitionIndex returns the index of the customer's partition.
func (s *customerQuota) partitionIndex(isSplit bool, count int) int {
	if isSplit {
		return quota.SplitPartitionOf(s.customer, s.isSmall.Load(), count)
	}
	return quota.PartitionOf(s.customer, count)
}

func newPartitions(count int) []*partition {
	partitions := make([]*partition, count)
	for i := range partitions {
		partitions[i] = &partition{index: i, low: make(map[*customerQuota]bool)}
	}
	return partitions
}

// partitionKey identifies a partition for the choice of its coordinator and shareholders.
func partitionKey(index, count int) string {
	if count == 1 {
		return ""
	}
	return fmt.Sprintf("%d/%d", index, count)
}

// join applies the coordinator and the shares of p.
func (s *customerQuota) join(p *partition, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.coordinator == "" && s.borrower == "" {
		// A loan that AssumeLent assumes is one to this coordinator.
		s.borrower = p.coordinator
	}
	s.coordinator = p.coordinator
	s.account.SetCoordinator(p.coordinator)
	s.account.SetShare(p.share, now)
	s.bucket.SetShare(p.share, now)
}
