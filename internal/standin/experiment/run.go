package experiment

import (
	"context"
	"fmt"
	"io"
	"sync"
	"time"

	"crocusyoke/internal/standin/check"
	"crocusyoke/internal/standin/deploy"
	"crocusyoke/internal/standin/load"
)

const (
	// callerTimeout is the caller's own timeout for one operation.
	callerTimeout = 8 * time.Second
	// prepareTimeout limits the creation of all tables.
	prepareTimeout = 15 * time.Second
	// recoveryTime is how long the deployment may recover before the final state is
	// collected.
	recoveryTime = 1500 * time.Millisecond
	// defaultRatesProfile is the profile under which the rate list is read in deployments
	// without an open service. Where there is one, its profile is used.
	defaultRatesProfile = "preview"
)

// run is one experiment in progress.
type run struct {
	plan       *Plan
	deployment *deploy.Deployment
	binaries   deploy.Binaries
	generator  *load.Generator
	recorder   *load.Recorder
	progress   io.Writer

	mu             sync.Mutex
	history        check.History
	events         []EventRecord
	latestCounters map[string]nodeCounters // by VM
	// mayRunAbandoned holds the names of the targets that were frozen or had connections go
	// silent; see check.TargetUsage.
	mayRunAbandoned map[string]bool
}

// EventRecord is an entry of a run's log of events. At counts from the start of the run.
type EventRecord struct {
	At   time.Duration `json:"at"`
	What string        `json:"what"`
	Err  string        `json:"err,omitempty"`
}

// Run runs a plan, with its files in dir, and returns its report. It writes the events to
// progress as they happen.
func Run(ctx context.Context, plan *Plan, dir string, progress io.Writer) (report *Report, err error) {
	layout, err := deploy.NewPlan(plan.Deployment)
	if err != nil {
		return nil, err
	}
	layout.Policy = plan.Policy
	if plan.ServiceTime > 0 {
		layout.ServiceTime = plan.ServiceTime.Std()
	}
	binaries, err := deploy.DefaultBinaries()
	if err != nil {
		return nil, err
	}
	deployment, err := deploy.New(layout, dir)
	if err != nil {
		return nil, err
	}
	r := &run{plan: plan, deployment: deployment, binaries: binaries, progress: progress, latestCounters: make(map[string]nodeCounters), mayRunAbandoned: make(map[string]bool)}
	defer func() {
		if stopErr := deployment.Stop(); err == nil {
			err = stopErr
		}
	}()
	if err := deployment.Start(ctx, binaries); err != nil {
		return nil, err
	}
	return r.execute(ctx)
}

// execute sends the load, carries out the events, collects the history and returns the
// report.
func (r *run) execute(ctx context.Context) (*Report, error) {
	options := r.loadOptions()
	if err := r.prepareTables(ctx, options); err != nil {
		return nil, err
	}
	r.recorder = load.NewRecorder(time.Now())
	r.generator = load.NewGenerator(options, r.recorder)
	loadCtx, cancel := context.WithTimeout(ctx, r.plan.Length.Std())
	defer cancel()
	var generating sync.WaitGroup
	generating.Go(func() { r.generator.Run(loadCtx) })
	sampling, stopSampling := context.WithCancel(ctx)
	sampled := make(chan struct{})
	go func() {
		defer close(sampled)
		r.sampleUntilDone(sampling)
	}()
	r.runEvents(loadCtx)
	generating.Wait()
	time.Sleep(recoveryTime)
	stopSampling()
	<-sampled
	if err := r.collect(ctx); err != nil {
		return nil, err
	}
	return r.report(), ctx.Err()
}

func (r *run) loadOptions() load.Options {
	d := r.deployment
	options := load.Options{
		Mix:                r.plan.Load.Mix,
		Seed:               r.plan.Seed,
		RunName:            r.runName(),
		OperationsPerNode:  r.plan.Load.OperationsPerNode,
		OneNodePerCustomer: r.plan.Load.OneNodePerCustomer,
		Timeout:            callerTimeout,
		RatesProfile:       defaultRatesProfile,
	}
	if d.Plan.Open != "" {
		options.RatesProfile = d.Plan.OpenProfile
	}
	for _, n := range d.Nodes {
		options.Nodes = append(options.Nodes, load.Node{Name: n.Name, Address: n.Callers})
	}
	for _, c := range d.Customers {
		options.Customers = append(options.Customers, load.Customer{
			Name:           c.Name,
			KeyID:          qualifiedKeyID(c),
			Key:            c.Key,
			Service:        c.Services[0],
			Group:          c.Services[0],
			ForeignService: c.Foreign,
			Rate:           c.Rate,
			Burst:          c.Burst,
			Clients:        r.plan.Load.Clients,
			OfferedRate:    r.plan.Load.Share * c.Rate,
		})
		r.history.Limits = append(r.history.Limits, check.Limit{Customer: c.Name, Rate: c.Rate, Burst: c.Burst})
	}
	return options
}

// qualifiedKeyID returns a key ID that is unique across customers.
func qualifiedKeyID(c deploy.Customer) string { return c.Name + "/" + c.KeyID }

func (r *run) prepareTables(ctx context.Context, options load.Options) error {
	ctx, cancel := context.WithTimeout(ctx, prepareTimeout)
	defer cancel()
	done := make(map[string]bool)
	for i := range options.Customers {
		c := &options.Customers[i]
		if done[c.Service] {
			continue
		}
		done[c.Service] = true
		if err := load.Prepare(ctx, options, c); err != nil {
			return Error.Wrap(err)
		}
	}
	return nil
}

// runEvents starts the action of every event at its time and waits until all have ended.
func (r *run) runEvents(ctx context.Context) {
	var running sync.WaitGroup
	for _, event := range r.plan.Events {
		running.Go(func() {
			if sleep(ctx, event.At.Std()-r.recorder.Now()) != nil {
				return
			}
			err := actions[event.Action](r, ctx, event)
			r.recordEvent(string(event.Action), err)
		})
	}
	running.Wait()
}

// recordEvent adds an entry to the log of events, with the current time, and prints it.
func (r *run) recordEvent(what string, err error) {
	entry := EventRecord{At: r.recorder.Now(), What: what}
	if err != nil {
		entry.Err = err.Error()
	}
	r.mu.Lock()
	r.events = append(r.events, entry)
	r.mu.Unlock()
	fmt.Fprintf(r.progress, "%7.2fs  %s %s\n", entry.At.Seconds(), entry.What, entry.Err)
}

// sleep waits for d. If ctx ends before, it returns its error.
func sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(max(d, 0))
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// runName returns the name of the run, with which the names of all its bookings start.
func (r *run) runName() string { return fmt.Sprintf("%s%d", r.plan.Name, r.plan.Seed) }
