package catalog

import (
	"strings"
	"testing"

	"github.com/go-kit/log"
	"github.com/shoenig/test/must"

	"crocusyoke/internal/catalog"
	"crocusyoke/internal/fleet"
)

// TestUnservableNamesAreLogged checks that one line tells of all customers, and one of all services, that a
// configuration leaves without service.
func TestUnservableNamesAreLogged(t *testing.T) {
	var out strings.Builder
	r := &Runner{o: Options{Logger: log.NewLogfmtLogger(&out)}}
	r.logUnservable(&catalog.Configuration{
		Version:   7,
		Customers: []fleet.Customer{{Name: "a"}, {Name: "a\nb", Unservable: true}, {Name: "", Unservable: true}},
		Services:  []fleet.Service{{Name: "orders", Unservable: true}},
	})
	r.logUnservable(&catalog.Configuration{Version: 8, Customers: []fleet.Customer{{Name: "a"}}})
	must.Eq(t, "event=\"customers unservable\" version=7 count=2 customer=\"a\\nb\"\n"+
		"event=\"services unservable\" version=7 count=1 service=orders\n", out.String())
}
