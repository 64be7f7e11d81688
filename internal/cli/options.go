package cli

import (
	"crypto/x509"
	"encoding/json"
	"encoding/pem"
	"errors"
	"fmt"
	"io"
	"os"
	"os/user"
	"text/tabwriter"
	"time"

	"github.com/spf13/pflag"

	"crocusyoke/internal/change"
	"crocusyoke/internal/fleet"
	"crocusyoke/internal/peer"
	"crocusyoke/internal/platform"
	"crocusyoke/internal/tomlfile"
)

// Options are the options that all operator commands share. Each value comes from its flag,
// else from its environment variable (such as CROCUSYOKE_PLATFORM), else from the operator
// file.
type Options struct {
	// Platform is the URL of the platform's services.
	Platform string `toml:"platform"`
	// Deployment is the name of the deployment, which is a fleet of nodes with one configuration.
	Deployment string `toml:"deployment"`
	// Certificate, Key and Authority are paths of PEM files for mutual TLS with the nodes.
	Certificate string `toml:"certificate"`
	Key         string `toml:"key"`
	Authority   string `toml:"authority"`
	// As is the name recorded in the audit trail, in place of the certificate's common name.
	As string `toml:"as"`
	// Output is the output format, "table" (default) or "json".
	Output string `toml:"output"`

	// operatorFile is the path of the operator file, from its flag.
	operatorFile string
}

// OperatorFileEnvVar is the environment variable with the path of the operator file, a TOML
// file with Options. The flag --operator takes precedence.
const OperatorFileEnvVar = "CROCUSYOKE_OPERATOR"

// Output formats.
const (
	outputTable = "table"
	outputJSON  = "json"
)

func (a *app) addFlags(flags *pflag.FlagSet) {
	flags.StringVar(&a.flags.operatorFile, "operator", "", "TOML file with these options")
	flags.StringVar(&a.flags.Platform, "platform", "", "URL of the platform's services")
	flags.StringVar(&a.flags.Deployment, "deployment", "", "name of the fleet")
	flags.StringVar(&a.flags.Certificate, "certificate", "", "operator's certificate file, PEM")
	flags.StringVar(&a.flags.Key, "key", "", "key file of the operator's certificate, PEM")
	flags.StringVar(&a.flags.Authority, "authority", "", "certificate authority file for the nodes' certificates, PEM")
	flags.StringVar(&a.flags.As, "as", "", "name for the audit trail (default the certificate's common name, or the user name without one)")
	flags.StringVarP(&a.flags.Output, "output", "o", "", "output format, table or json (default table)")
}

// options merges the flags, the environment and the operator file, in this order of
// precedence.
func (a *app) options() (Options, error) {
	path := firstNonEmpty(a.flags.operatorFile, a.hooks.Getenv(OperatorFileEnvVar))
	var file Options
	if path != "" {
		body, err := os.ReadFile(path)
		if err != nil {
			return Options{}, err
		}
		if err := tomlfile.Decode(body, path, &file).Err(); err != nil {
			return Options{}, err
		}
	}
	env := a.hooks.Getenv
	merged := Options{
		Platform:    firstNonEmpty(a.flags.Platform, env("CROCUSYOKE_PLATFORM"), file.Platform),
		Deployment:  firstNonEmpty(a.flags.Deployment, env("CROCUSYOKE_DEPLOYMENT"), file.Deployment),
		Certificate: firstNonEmpty(a.flags.Certificate, env("CROCUSYOKE_CERTIFICATE"), file.Certificate),
		Key:         firstNonEmpty(a.flags.Key, env("CROCUSYOKE_KEY"), file.Key),
		Authority:   firstNonEmpty(a.flags.Authority, env("CROCUSYOKE_AUTHORITY"), file.Authority),
		As:          firstNonEmpty(a.flags.As, env("CROCUSYOKE_AS"), file.As),
		Output:      firstNonEmpty(a.flags.Output, env("CROCUSYOKE_OUTPUT"), file.Output, outputTable),
	}
	if merged.Output != outputTable && merged.Output != outputJSON {
		return merged, usageError{fmt.Errorf("output %q is neither table nor json", merged.Output)}
	}
	return merged, nil
}

func firstNonEmpty(values ...string) string {
	for _, value := range values {
		if value != "" {
			return value
		}
	}
	return ""
}

// fleetOptions returns the options of a command that needs the platform. It fails with a
// usageError if the platform or the deployment is not given, or if the deployment's name is not valid.
func (a *app) fleetOptions() (Options, error) {
	o, err := a.options()
	if err != nil {
		return o, err
	}
	if o.Platform == "" || o.Deployment == "" {
		return o, usageError{errors.New("--platform and --deployment are needed (or CROCUSYOKE_PLATFORM and CROCUSYOKE_DEPLOYMENT, or platform and deployment in the operator file)")}
	}
	if !fleet.ValidName(o.Deployment) {
		return o, usageError{fmt.Errorf("deployment %q is not a valid name", o.Deployment)}
	}
	return o, nil
}

func (a *app) openPlatform() (platform.Platform, Options, error) {
	o, err := a.fleetOptions()
	if err != nil {
		return nil, o, err
	}
	if a.hooks.PlatformClient == nil {
		return nil, o, errors.New("this build has no platform client")
	}
	store, err := a.hooks.PlatformClient(o)
	return store, o, err
}

func (a *app) openPeers(o Options) (peer.Caller, error) {
	if a.hooks.PeerClient == nil {
		return nil, errors.New("this build has no client for calls to the nodes")
	}
	if o.Certificate == "" || o.Key == "" || o.Authority == "" {
		return nil, usageError{errors.New("--certificate, --key and --authority are needed to call the nodes")}
	}
	return a.hooks.PeerClient(o)
}

// newWriter returns a Writer for changes of the configuration. Its Peers are nil unless
// wait is positive: a command that does not wait does not call the nodes.
func (a *app) newWriter(wait time.Duration) (*change.Writer, error) {
	store, o, err := a.openPlatform()
	if err != nil {
		return nil, err
	}
	who, err := operatorName(o)
	if err != nil {
		return nil, err
	}
	w := &change.Writer{Platform: store, Clock: a.hooks.Clock, Deployment: o.Deployment, Who: who}
	if wait > 0 {
		w.Peers, err = a.openPeers(o)
	}
	return w, err
}

// operatorName returns the name for the audit trail: the one given by --as, else the
// certificate's common name, else the name of the operating system's user.
func operatorName(o Options) (string, error) {
	if o.As != "" {
		return o.As, nil
	}
	if o.Certificate != "" {
		return certificateCommonName(o.Certificate)
	}
	current, err := user.Current()
	if err != nil {
		return "", fmt.Errorf("cannot determine the operator's name for the audit trail; give --as: %w", err)
	}
	return current.Username, nil
}

func certificateCommonName(path string) (string, error) {
	body, err := os.ReadFile(path)
	if err != nil {
		return "", err
	}
	block, _ := pem.Decode(body)
	if block == nil {
		return "", fmt.Errorf("%s: no PEM block found", path)
	}
	certificate, err := x509.ParseCertificate(block.Bytes)
	if err != nil {
		return "", fmt.Errorf("%s: %w", path, err)
	}
	return certificate.Subject.CommonName, nil
}

// printable is a command's result, printed as JSON or as a table. writeTable separates cells
// by tabs.
type printable interface{ writeTable(w io.Writer) }

func (a *app) print(result printable) error {
	o, err := a.options()
	if err != nil {
		return err
	}
	if o.Output == outputJSON {
		encoder := json.NewEncoder(a.stdout)
		encoder.SetIndent("", "  ")
		return encoder.Encode(result)
	}
	table := tabwriter.NewWriter(a.stdout, 0, 0, 2, ' ', 0)
	result.writeTable(table)
	return table.Flush()
}
