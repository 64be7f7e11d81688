package platformd

import (
	"context"
	"net/http"
	"net/url"
	"time"

	"crocusyoke/internal/platform"
	"crocusyoke/internal/standin/httpjson"
)

// adminTimeout bounds one call of an Admin.
const adminTimeout = 5 * time.Second

// Admin is the client with which tests and test deployments change the VM list, set faults
// and read the counters. Its calls are not subject to faults.
type Admin struct{ baseURL string }

// NewAdmin returns an Admin for the platform at baseURL, such as http://127.0.0.1:8080.
func NewAdmin(baseURL string) *Admin { return &Admin{baseURL: baseURL} }

// PutVM adds or replaces a VM.
func (a *Admin) PutVM(ctx context.Context, vm platform.VM) error {
	return a.call(ctx, http.MethodPut, PathVMs+"/"+url.PathEscape(vm.Name), vm, nil)
}

// DeleteVM removes a VM. Removing an unknown VM is not an error.
func (a *Admin) DeleteVM(ctx context.Context, name string) error {
	return a.call(ctx, http.MethodDelete, PathVMs+"/"+url.PathEscape(name), nil, nil)
}

// SetFaults replaces the faults in force.
func (a *Admin) SetFaults(ctx context.Context, f Faults) error {
	return a.call(ctx, http.MethodPut, PathFaults, f, nil)
}

// Counters returns the counts since the platform was started.
func (a *Admin) Counters(ctx context.Context) (Counters, error) {
	var counters Counters
	return counters, a.call(ctx, http.MethodGet, PathCounters, nil, &counters)
}

func (a *Admin) call(ctx context.Context, method, path string, body, result any) error {
	ctx, cancel := context.WithTimeout(ctx, adminTimeout)
	defer cancel()
	return httpjson.Call(ctx, method, a.baseURL+path, body, result)
}
