package hosted

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// TestPromotionsGoToTheirGroup checks that one server takes the promotion calls of several groups, and
// which calls it refuses.
func TestPromotionsGoToTheirGroup(t *testing.T) {
	ledger, stock := NewGroup("ledger", "l1", "l2"), NewGroup("stock", "s1", "s2")
	defer ledger.Close()
	defer stock.Close()
	p := NewPromotions(ledger, stock)
	defer p.Close()
	promote := func(service, id string) int {
		body := strings.NewReader(fmt.Sprintf(`{"service":%q,"id":%q}`, service, id))
		response, err := http.Post("http://"+p.Address()+"/promote", "application/json", body)
		must.NoError(t, err)
		must.NoError(t, response.Body.Close())
		return response.StatusCode
	}
	must.Eq(t, http.StatusBadRequest, promote("orders", "l2"))
	must.Eq(t, http.StatusConflict, promote("ledger", "s2"))
	must.Eq(t, http.StatusOK, promote("stock", "s2"))
	must.True(t, WaitFor(10*time.Second, func() bool { return stock.Leader() == stock.Target("s2") }))
	must.True(t, ledger.Target("l1").Leads())
	must.SliceEmpty(t, ledger.Promotions())
}
