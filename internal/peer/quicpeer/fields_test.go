package quicpeer

import (
	"context"
	"reflect"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"crocusyoke/internal/request"
)

// fill sets every field of the struct v to a value other than its zero value. It fails the test at a field of a type that
// it does not know, so that none is left out.
func fill(t *testing.T, v reflect.Value, next *int) {
	t.Helper()
	for i := range v.NumField() {
		field := v.Field(i)
		*next++
		switch {
		case field.Type() == reflect.TypeFor[time.Time]():
			field.Set(reflect.ValueOf(time.Now().Add(10 * time.Second)))
		case field.Type() == reflect.TypeFor[[]byte]():
			field.SetBytes([]byte{byte(*next)})
		case field.Kind() == reflect.Struct:
			fill(t, field, next)
		case field.Kind() == reflect.String:
			field.SetString(v.Type().Field(i).Name)
		case field.Kind() == reflect.Bool:
			field.SetBool(true)
		case field.Kind() == reflect.Uint8:
			field.SetUint(1)
		case field.CanUint():
			field.SetUint(uint64(*next))
		case field.CanInt():
			field.SetInt(int64(*next) * int64(time.Millisecond))
		case field.CanFloat():
			field.SetFloat(float64(*next))
		default:
			t.Fatalf("%s.%s: fill does not know %s", v.Type(), v.Type().Field(i).Name, field.Type())
		}
		must.False(t, field.IsZero(), must.Sprint(v.Type().Field(i).Name))
	}
}

// recordingOwner passes on the requests that it gets and answers with response.
type recordingOwner struct {
	stubOwner
	requests chan *request.Request
	response request.Response
}

func (o *recordingOwner) Serve(_ context.Context, req *request.Request) (*request.Response, error) {
	o.requests <- req
	response := o.response
	response.ID = req.ID
	return &response, nil
}

// TestEveryFieldCrossesTheLink guards against a field of a request that the owner does not get, or not when it changes
// between two requests of a session, and against a field of its answer that the entry node does not get. All fields are
// filled, also those that are added later. The deadline is the owner's: that of the remaining time.
func TestEveryFieldCrossesTheLink(t *testing.T) {
	a := newAuthority(t)
	o := &recordingOwner{requests: make(chan *request.Request, 1)}
	number := 0
	fill(t, reflect.ValueOf(&o.response).Elem(), &number)
	address, _ := startServer(t, a, o)
	h := newTestClient(t, a, "a", RoleNode).Open(address)
	var first request.Request
	fill(t, reflect.ValueOf(&first).Elem(), &number)
	second := request.Request{ID: first.ID, Deadline: first.Deadline, Messages: []byte{}}
	second.ID.Sequence++
	third := first
	third.ID.Sequence += 2
	for _, sent := range []*request.Request{&first, &second, &third} {
		response, err := h.Serve(t.Context(), sent)
		must.NoError(t, err)
		got := <-o.requests
		must.Between(t, 0, sent.Deadline.Sub(got.Deadline).Abs(), 5*time.Second)
		got.Deadline = sent.Deadline
		must.Eq(t, sent, got)
		answer := o.response
		answer.ID = sent.ID
		must.Eq(t, &answer, response)
	}
}
