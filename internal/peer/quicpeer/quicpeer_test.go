package quicpeer

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/shoenig/test/must"

	"crocusyoke/internal/clock"
	"crocusyoke/internal/peer"
	"crocusyoke/internal/request"
)

// owner answers with the request's messages, or as the fields say.
type owner struct {
	mu      sync.Mutex
	ended   []string
	refuse  error
	block   chan struct{}
	crossed bool
	// arrived, if set, is told of each request.
	arrived chan struct{}
}

// spent is where the time of each answer went.
var spent = request.Times{AtOwner: 3 * time.Second, AtTarget: 20 * time.Millisecond, Exchanges: 2}

func (o *owner) Serve(ctx context.Context, req *request.Request) (*request.Response, error) {
	if o.arrived != nil {
		o.arrived <- struct{}{}
	}
	if o.block != nil {
		select {
		case <-o.block:
		case <-ctx.Done():
			return nil, request.Refuse(request.CodeTimeout, "owner", "", "canceled")
		}
	}
	if o.refuse != nil {
		return nil, o.refuse
	}
	id := req.ID
	if o.crossed {
		id.Sequence++
	}
	return &request.Response{ID: id, Messages: req.Messages, TxStatus: 'I', Times: spent}, nil
}

func (o *owner) End(session string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.ended = append(o.ended, session)
}

func (o *owner) endedSessions() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.ended)
}

func listen(t testing.TB) net.PacketConn {
	packets, err := net.ListenPacket("udp", "127.0.0.1:0")
	must.NoError(t, err)
	return packets
}

// serve starts a server for o and returns its address.
func serve(t testing.TB, a *authority, o request.Handler) (string, *Server) {
	packets := listen(t)
	s := NewServer("b", a.config("b", RoleNode), clock.Wall{}, o)
	s.Handle(peer.KindProbe, false, func(_ context.Context, from string, _ []byte) (any, error) { return from, nil })
	s.Handle(peer.KindStatus, true, func(_ context.Context, from string, _ []byte) (any, error) { return from, nil })
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- s.Serve(ctx, packets) }()
	t.Cleanup(func() {
		cancel()
		must.NoError(t, <-done)
	})
	return packets.LocalAddr().String(), s
}

func dial(t testing.TB, a *authority, name, role string) *Client {
	c := NewClient(a.config(name, role), listen(t), clock.Wall{}, nil)
	t.Cleanup(func() { _ = c.Close() })
	return c
}

func newRequest(session string, sequence uint64, body string) *request.Request {
	return &request.Request{
		ID:       request.ID{Session: session, Sequence: sequence},
		Deadline: time.Now().Add(10 * time.Second),
		Messages: []byte(body),
	}
}

func TestSessionsKeepTheirAnswersApart(t *testing.T) {
	a := newAuthority(t)
	o := &owner{}
	address, _ := serve(t, a, o)
	c := dial(t, a, "a", RoleNode)
	var wg sync.WaitGroup
	for i := range 20 {
		wg.Go(func() {
			session := fmt.Sprintf("s%d", i)
			h := c.Open(address)
			for n := range uint64(20) {
				body := fmt.Sprintf("%s/%d", session, n)
				resp, err := h.Serve(context.Background(), newRequest(session, n+1, body))
				must.NoError(t, err)
				must.Eq(t, body, string(resp.Messages))
				must.Eq(t, spent, resp.Times)
			}
			h.End(session)
		})
	}
	wg.Wait()
	deadline := time.Now().Add(10 * time.Second)
	for o.endedSessions() < 20 && time.Now().Before(deadline) {
		time.Sleep(time.Millisecond)
	}
	must.Eq(t, 20, o.endedSessions())
}

func TestRefusalCrossesWithFateStepAndPeer(t *testing.T) {
	a := newAuthority(t)
	o := &owner{refuse: request.Refuse(request.CodeNoTarget, "choose", "t1", "down").WithCause(errors.New("cause"))}
	address, _ := serve(t, a, o)
	_, err := dial(t, a, "a", RoleNode).Open(address).Serve(context.Background(), newRequest("s", 1, "x"))
	r := request.AsRefusal(err)
	must.Eq(t, request.CodeNoTarget, r.Code)
	must.Eq(t, "choose", r.Step)
	must.Eq(t, "t1", r.Peer)
	must.ErrorContains(t, r, "cause")
}

func TestAnswerToAnotherRequestIsNotTaken(t *testing.T) {
	a := newAuthority(t)
	address, _ := serve(t, a, &owner{crossed: true})
	_, err := dial(t, a, "a", RoleNode).Open(address).Serve(context.Background(), newRequest("s", 1, "x"))
	must.ErrorContains(t, err, "no answer from the owner")
	must.Eq(t, request.CodeOutcomeUnknown, request.AsRefusal(err).Code)
}

func TestCancelReachesTheOwner(t *testing.T) {
	a := newAuthority(t)
	o := &owner{block: make(chan struct{}), arrived: make(chan struct{}, 2)}
	address, _ := serve(t, a, o)
	h := dial(t, a, "a", RoleNode).Open(address)
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		<-o.arrived
		cancel()
	}()
	_, err := h.Serve(ctx, newRequest("s", 1, "x"))
	must.Eq(t, request.CodeTimeout, request.AsRefusal(err).Code)
	close(o.block)
	resp, err := h.Serve(context.Background(), newRequest("s", 2, "y"))
	must.NoError(t, err)
	must.Eq(t, "y", string(resp.Messages))
}

// lingering notes the order of events, and goes on with its first request after that was
// canceled.
type lingering struct {
	mu     sync.Mutex
	events []string
	until  chan struct{}
	// arrived is told of the first request.
	arrived chan struct{}
}

func (l *lingering) note(event string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.events = append(l.events, event)
}

func (l *lingering) Serve(_ context.Context, req *request.Request) (*request.Response, error) {
	l.note("serve " + string(req.Messages))
	if req.ID.Sequence == 1 {
		close(l.arrived)
		<-l.until
	}
	l.note("served " + string(req.Messages))
	return &request.Response{ID: req.ID, Messages: req.Messages, TxStatus: 'I'}, nil
}

func (l *lingering) End(string) { l.note("end") }

func TestNewStreamWaitsForTheEndOfTheSessionsOldOne(t *testing.T) {
	a := newAuthority(t)
	o := &lingering{until: make(chan struct{}), arrived: make(chan struct{})}
	address, _ := serve(t, a, o)
	h := dial(t, a, "a", RoleNode).Open(address)
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		<-o.arrived
		cancel()
	}()
	_, err := h.Serve(ctx, newRequest("s", 1, "x"))
	must.Eq(t, request.CodeOutcomeUnknown, request.AsRefusal(err).Code)
	time.AfterFunc(50*time.Millisecond, func() { close(o.until) })
	_, err = h.Serve(context.Background(), newRequest("s", 2, "y"))
	must.NoError(t, err)
	o.mu.Lock()
	defer o.mu.Unlock()
	must.Eq(t, []string{"serve x", "served x", "end", "serve y", "served y"}, o.events)
}

func TestNobodyHomeIsNotRun(t *testing.T) {
	a := newAuthority(t)
	packets := listen(t)
	defer packets.Close()
	_, err := dial(t, a, "a", RoleNode).Open(packets.LocalAddr().String()).Serve(context.Background(), newRequest("s", 1, "x"))
	must.Eq(t, request.CodeNoOwner, request.AsRefusal(err).Code)
}

func TestCertificatesDecideWhoMayCall(t *testing.T) {
	a := newAuthority(t)
	address, _ := serve(t, a, &owner{})
	ctx := context.Background()
	var from string
	must.NoError(t, dial(t, a, "a", RoleNode).Call(ctx, address, peer.KindProbe, 1, &from))
	must.Eq(t, "a", from)
	operator := dial(t, a, "op", RoleOperator)
	must.NoError(t, operator.Call(ctx, address, peer.KindStatus, 1, &from))
	must.Eq(t, "op", from)
	must.ErrorContains(t, operator.Call(ctx, address, peer.KindProbe, 1, &from), "forbidden")
	must.Error(t, dial(t, newAuthority(t), "a", RoleNode).Call(ctx, address, peer.KindProbe, 1, &from))
	_, err := operator.Open(address).Serve(ctx, newRequest("s", 1, "x"))
	must.Error(t, err)
}

func TestSilentConnectionIsReplaced(t *testing.T) {
	a := newAuthority(t)
	address, _ := serve(t, a, &owner{})
	c := dial(t, a, "a", RoleNode)
	h := c.Open(address)
	_, err := h.Serve(context.Background(), newRequest("s", 1, "x"))
	must.NoError(t, err)
	conn, err := c.connect(context.Background(), address)
	must.NoError(t, err)
	must.NoError(t, conn.CloseWithError(1, "lost track"))
	<-conn.Context().Done()
	_, err = h.Serve(context.Background(), newRequest("s", 2, "y"))
	must.NoError(t, err)
}

func TestFrameOverTheLimitIsRefusedBeforeItIsRead(t *testing.T) {
	var frame answerFrame
	huge := []byte{0xff, 0xff, 0xff, 0xff, 1, 2, 3}
	must.ErrorContains(t, newFrameReader(bytes.NewReader(huge)).read(&frame), "over the limit")
}

func FuzzFrame(f *testing.F) {
	var valid bytes.Buffer
	first := newRequest("s", 1, "x")
	frame, context := frameOf(first), contextOf(first)
	frame.Context = &context
	must.NoError(f, writeFrame(&valid, &frame))
	f.Add(valid.Bytes())
	f.Add([]byte{0, 0, 0, 9, 1})
	f.Fuzz(func(t *testing.T, data []byte) {
		var frame requestFrame
		if newFrameReader(bytes.NewReader(data)).read(&frame) != nil {
			return
		}
		_, err := cbor.Marshal(&frame)
		must.NoError(t, err)
	})
}

func BenchmarkSession(b *testing.B) {
	a := newAuthority(b)
	address, _ := serve(b, a, &owner{})
	c := dial(b, a, "a", RoleNode)
	b.SetParallelism(10)
	b.ReportAllocs()
	var mu sync.Mutex
	next := 0
	b.RunParallel(func(pb *testing.PB) {
		mu.Lock()
		next++
		session := fmt.Sprintf("s%d", next)
		mu.Unlock()
		h := c.Open(address)
		body := string(make([]byte, 200))
		for n := uint64(1); pb.Next(); n++ {
			if _, err := h.Serve(context.Background(), newRequest(session, n, body)); err != nil {
				b.Error(err)
			}
		}
	})
}
