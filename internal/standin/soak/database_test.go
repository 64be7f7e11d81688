package soak

import (
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"crocusyoke/internal/standin/hosted"
)

// TestReplacedTargetGetsNoEntry guards against entries of targets that were replaced meanwhile: nobody removed
// them again, as the platform does after three heartbeats.
func TestReplacedTargetGetsNoEntry(t *testing.T) {
	store := hosted.NewStore()
	defer store.Close()
	o := DefaultOptions()
	o.LinkDelay, o.Work = 0, 0
	d, err := newDatabase(0, o, store, func(string, hosted.Statement) {})
	must.NoError(t, err)
	defer d.close()
	isListed := func(id string) bool {
		response, err := http.Get("http://" + store.Address() + "/api/rows-get?table=servers")
		must.NoError(t, err)
		defer response.Body.Close()
		body, err := io.ReadAll(response.Body)
		must.NoError(t, err)
		return strings.Contains(string(body), `"`+id+`"`)
	}
	const id = "proofs-1"
	must.True(t, isListed(id))
	d.mu.Lock()
	delete(d.zones, id)
	store.Delete("servers", id)
	d.mu.Unlock()
	d.register(id, "ready")
	d.writeEntry(id, "odd")
	must.False(t, isListed(id))
}
