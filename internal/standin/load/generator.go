package load

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// Generator runs the callers of a load.
type Generator struct {
	options  Options
	recorder *Recorder
	// lastClient is the number of the newest client. Numbers start at 1.
	lastClient atomic.Int64
}

// NewGenerator returns a Generator that records into recorder.
func NewGenerator(options Options, recorder *Recorder) *Generator {
	return &Generator{options: options, recorder: recorder}
}

// RunExtraClients adds clients to a customer until ctx ends. Together they send offered
// operations per second, on top of the load of Run. It panics if there is no such customer.
func (g *Generator) RunExtraClients(ctx context.Context, customer string, clients int, offered float64) {
	i := slices.IndexFunc(g.options.Customers, func(c Customer) bool { return c.Name == customer })
	extra := g.options.Customers[i]
	extra.Clients = clients
	extra.OfferedRate = offered
	g.runClients(ctx, i, &extra)
}

// Run sends the load of all customers until ctx ends. It returns when every client has
// finished its current operation.
func (g *Generator) Run(ctx context.Context) {
	var wg sync.WaitGroup
	for i := range g.options.Customers {
		wg.Go(func() { g.runClients(ctx, i, &g.options.Customers[i]) })
	}
	wg.Wait()
}

func (g *Generator) runClients(ctx context.Context, index int, customer *Customer) {
	var wg sync.WaitGroup
	for range customer.Clients {
		c := g.newClient(int(g.lastClient.Add(1)), index, customer)
		wg.Go(func() { c.run(ctx) })
	}
	wg.Wait()
}

func (g *Generator) newClient(number, index int, customer *Customer) *client {
	firstNode := number
	if g.options.OneNodePerCustomer {
		firstNode = index
	}
	return &client{
		generator: g,
		customer:  customer,
		number:    number,
		nodeIndex: firstNode % len(g.options.Nodes),
		rand:      rand.New(rand.NewPCG(g.options.Seed, uint64(number))),
	}
}

// pause returns a random, exponentially distributed time until the client's next operation.
// Its mean makes all clients of the customer together send its offered rate.
func (c *client) pause() time.Duration {
	mean := float64(c.customer.Clients) / c.customer.OfferedRate
	return time.Duration(c.rand.ExpFloat64() * mean * float64(time.Second))
}
