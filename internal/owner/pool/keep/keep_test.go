package keep

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// ask is one statement of a replay: it uses a connection of customer from at on, for hold.
type ask struct {
	at       time.Duration
	customer int
	hold     time.Duration
}

// manyCustomers returns the load of one target with customers of which a few are large: customer i sends in
// proportion to 1/(i+1).
func manyCustomers(seed uint64, customers int, rate float64, length time.Duration) []ask {
	random := rand.New(rand.NewPCG(seed, 4))
	sum := 0.0
	for i := range customers {
		sum += 1 / float64(i+1)
	}
	var all []ask
	for i := range customers {
		own := rate / sum / float64(i+1)
		for at := time.Duration(0); ; {
			at += time.Duration(random.ExpFloat64() / own * float64(time.Second))
			if at > length {
				break
			}
			hold := time.Duration(random.ExpFloat64() * float64(12*time.Millisecond))
			if random.IntN(8) == 0 {
				hold *= 20 // a transaction
			}
			all = append(all, ask{at, i, hold})
		}
	}
	slices.SortFunc(all, func(a, b ask) int { return int(a.at - b.at) })
	return all
}

// replay plays asks with at most limit connections, and returns how many opened one. longestIdle makes the
// longest-idle connection the one that is closed.
func replay(asks []ask, limit int, longestIdle bool) (opened int) {
	type inUse struct {
		customer string
		until    time.Duration
	}
	h := New()
	var idle []string
	var used []inUse
	busy := map[string]int{}
	for _, a := range asks {
		now := time.Unix(0, 0).Add(a.at)
		slices.SortFunc(used, func(x, y inUse) int { return int(x.until - y.until) })
		for len(used) > 0 && used[0].until <= a.at {
			idle = append(idle, used[0].customer)
			busy[used[0].customer]--
			used = used[1:]
		}
		customer := fmt.Sprint(a.customer)
		h.Use(now, customer, busy[customer], 1)
		i := len(idle) - 1
		for i >= 0 && idle[i] != customer {
			i--
		}
		if i >= 0 {
			idle = slices.Delete(idle, i, i+1)
		} else {
			opened++
			if len(idle)+len(used) >= limit {
				var candidates []Candidate
				for _, c := range idle {
					candidates = append(candidates, Candidate{c, busy[c]})
				}
				v := h.Victim(now, candidates)
				if longestIdle {
					v = min(0, len(idle)-1)
				}
				if v < 0 {
					continue
				}
				idle = slices.Delete(idle, v, v+1)
			}
		}
		busy[customer]++
		used = append(used, inUse{customer, a.at + a.hold})
	}
	return opened
}

// TestFewerOpenedThanByIdleTime replays 71 customers before 27 connections: fewer statements open one than if the
// longest-idle one were closed.
func TestFewerOpenedThanByIdleTime(t *testing.T) {
	for seed := uint64(1); seed <= 3; seed++ {
		for _, rate := range []float64{50, 130} {
			asks := manyCustomers(seed, 71, rate, 40*time.Second)
			kept, byIdle := replay(asks, 27, false), replay(asks, 27, true)
			t.Logf("%v a second: %d of %d opened one, %d by idle time", rate, kept, len(asks), byIdle)
			must.Less(t, byIdle*9/10, kept)
		}
	}
}

// TestBulkGivesWayToUrgent: of two customers that send alike, the connection of the one whose uses count less is closed,
// whichever is idle for longer; a connection that only a second statement at once would use goes before either.
func TestBulkGivesWayToUrgent(t *testing.T) {
	h := New()
	now := time.Unix(0, 0)
	for range 5 {
		h.Use(now, "urgent", 0, 1)
		h.Use(now, "bulk", 0, 0.5)
	}
	must.Eq(t, 1, h.Victim(now, []Candidate{{Customer: "urgent"}, {Customer: "bulk"}}))
	must.Eq(t, 0, h.Victim(now, []Candidate{{Customer: "urgent"}, {Customer: "bulk"}, {Customer: "urgent"}}))
	must.Eq(t, 0, h.Victim(now, []Candidate{{Customer: "urgent", Busy: 1}, {Customer: "bulk"}}))
	must.Eq(t, -1, h.Victim(now, nil))
}

// TestHistoryIsBounded: customers that no longer send are forgotten once there are many.
func TestHistoryIsBounded(t *testing.T) {
	h := New()
	now := time.Unix(0, 0)
	for i := range 10 * maxCustomers {
		now = now.Add(100 * time.Millisecond)
		h.Use(now, fmt.Sprint(i), 0, 1)
	}
	must.LessEq(t, maxCustomers, len(h.customers))
}
