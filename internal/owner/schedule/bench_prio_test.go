package schedule
import "testing"
func BenchmarkSubmitDonePriorities(b *testing.B) {
	s := New(Options{Slots: 5, Priorities: true})
	now := epoch
	items := [3]*Item{{Customer: "a", Class: Read}, {Customer: "a", Class: Read, Priority: 1000}, {Customer: "a", Class: Read, Priority: 2000}}
	b.ReportAllocs()
	i := 0
	for b.Loop() {
		i++
		item := items[i%3]
		s.Submit(now, item)
		s.Done(now, item, TransactionUnchanged)
	}
}
