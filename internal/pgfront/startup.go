package pgfront

import (
	"crypto/subtle"
	"crypto/tls"
	"encoding/binary"
	"strings"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"crocusyoke/internal/filter/auth"
	"crocusyoke/internal/request"
)

// Request codes, which take the place of the protocol version in a startup packet.
const (
	codeSSLRequest    = 80877103
	codeGSSENCRequest = 80877104
	codeCancelRequest = 80877102
	// majorVersion is the supported major version. A newer minor version is negotiated down
	// to 0.
	majorVersion = 3
)

// handshake negotiates TLS, reads the startup message and authenticates the caller, all
// within HandshakeTimeout. It reports false if the connection is to be closed.
func (c *conn) handshake() bool {
	c.socket.SetDeadline(time.Now().Add(c.options.HandshakeTimeout))
	body, ok := c.negotiateEncryption()
	if !ok {
		return false
	}
	parameters, ok := c.startupParameters(body)
	if !ok {
		return false
	}
	if err := c.admit(parameters); err != nil {
		c.refuseStartup(err)
		return false
	}
	c.socket.SetDeadline(time.Time{})
	return c.completeStartup(parameters)
}

// negotiateEncryption answers SSLRequest and GSSENCRequest until the startup message arrives,
// and returns its body. It also serves a CancelRequest. It reports false if the connection is
// to be closed.
func (c *conn) negotiateEncryption() ([]byte, bool) {
	for range 3 {
		body, err := c.reader.readStartup()
		if err != nil {
			c.failNegotiation(err)
			return nil, false
		}
		switch binary.BigEndian.Uint32(body) {
		case codeSSLRequest:
			if !c.startTLS() {
				return nil, false
			}
		case codeGSSENCRequest:
			if !c.write([]byte{'N'}) {
				return nil, false
			}
		case codeCancelRequest:
			c.cancelRequest(body)
			return nil, false
		default:
			return body, true
		}
	}
	c.failNegotiation(errProtocol.New("too many encryption requests"))
	return nil, false
}

// startTLS answers an SSLRequest and performs the TLS handshake if TLS is configured. It
// refuses a caller whose data arrived before the handshake: such data is not authenticated and
// could have been injected. It reports false if the connection is to be closed.
func (c *conn) startTLS() bool {
	if c.options.TLS == nil || c.usesTLS {
		return c.write([]byte{'N'})
	}
	if c.reader.in.Buffered() > 0 {
		c.failNegotiation(errProtocol.New("data before the TLS handshake"))
		return false
	}
	if !c.write([]byte{'S'}) {
		return false
	}
	secured := tls.Server(c.socket, c.options.TLS)
	if err := secured.Handshake(); err != nil {
		c.server.HandshakeFailed.Add(1)
		return false
	}
	c.socket = secured
	c.reader = newMessageReader(secured, c.reader.room)
	c.usesTLS = true
	return true
}

// cancelRequest cancels the request of a session of this node, or else passes the cancel
// request on to ForwardCancel.
func (c *conn) cancelRequest(body []byte) {
	var cancel pgproto3.CancelRequest
	if cancel.Decode(body) != nil || len(cancel.SecretKey) != 4 {
		c.server.BadProtocol.Add(1)
		return
	}
	secret := binary.BigEndian.Uint32(cancel.SecretKey)
	if c.server.Cancel(cancel.ProcessID, secret) {
		return
	}
	if c.options.ForwardCancel != nil {
		c.options.ForwardCancel(cancel.ProcessID, secret)
	}
}

// startupParameters decodes the parameters of a startup message. It sends
// NegotiateProtocolVersion if the caller asked for a version newer than 3.0 or for protocol
// extensions, whose names begin with "_pq_.".
func (c *conn) startupParameters(body []byte) (map[string]string, bool) {
	version := binary.BigEndian.Uint32(body)
	if version>>16 != majorVersion {
		c.failNegotiation(errProtocol.New("unsupported protocol version %d.%d", version>>16, version&0xffff))
		return nil, false
	}
	binary.BigEndian.PutUint32(body, pgproto3.ProtocolVersion30)
	var message pgproto3.StartupMessage
	if err := message.Decode(body); err != nil {
		c.failNegotiation(errProtocol.New("malformed startup message"))
		return nil, false
	}
	var options []string
	for name := range message.Parameters {
		if strings.HasPrefix(name, "_pq_.") {
			options = append(options, name)
			delete(message.Parameters, name)
		}
	}
	if version != pgproto3.ProtocolVersion30 || len(options) > 0 {
		c.write(appendMessages(nil, &pgproto3.NegotiateProtocolVersion{UnrecognizedOptions: options}))
	}
	return message.Parameters, true
}

// admit authenticates the caller, registers its session and applies its startup parameters.
// The service is the startup parameter database, or user if that is empty.
func (c *conn) admit(parameters map[string]string) error {
	if !c.usesTLS && !c.options.Plaintext {
		return request.Refuse(request.CodeForbidden, step, "", "TLS is required")
	}
	if c.server.isDraining() {
		return shutdownRefusal()
	}
	service := parameters["database"]
	if service == "" {
		service = parameters["user"]
	}
	id, err := c.login(parameters["user"], service)
	if err != nil {
		return err
	}
	if !c.visit.Login(id.Customer) {
		c.server.TooMany.Add(1)
		return request.Refuse(request.CodeOverloaded, step, "", "too many connections")
	}
	c.identity = id
	c.service = service
	c.server.register(c)
	c.options.Auth.SetIdentity(c.session, id)
	return c.applyStartup(parameters)
}

// login requests the caller's key as a cleartext password, checks it, and clears the buffer
// that held it.
func (c *conn) login(customer, service string) (auth.Identity, error) {
	if !c.write(appendMessages(nil, &pgproto3.AuthenticationCleartextPassword{})) {
		return auth.Identity{}, errDisconnected
	}
	raw, kind, err := c.reader.readMessage(nil, maxStartupMessage)
	if err != nil {
		return auth.Identity{}, err
	}
	defer clear(raw)
	var password pgproto3.PasswordMessage
	if kind != typePassword || password.Decode(raw[headerLength:]) != nil {
		return auth.Identity{}, errProtocol.New("expected a password message")
	}
	return c.options.Auth.Login(customer, password.Password, service)
}

// applyStartup sets session variables from the startup parameters. Variables that are given
// within the startup parameter called "options" are set first.
func (c *conn) applyStartup(parameters map[string]string) error {
	if options := parameters["options"]; options != "" {
		if err := c.applyOptions(options); err != nil {
			return err
		}
	}
	for name, value := range parameters {
		switch name {
		case "user", "database", "options":
			continue
		}
		if err := c.setVariable(strings.ToLower(name), value); err != nil {
			return err
		}
	}
	return nil
}

// applyOptions sets session variables from the value of the startup parameter called "options".
// The value holds options of the forms "-c name=value" and "--name=value". A backslash escapes
// the next character, such as a space.
func (c *conn) applyOptions(options string) error {
	words := splitOptions(options)
	for i := 0; i < len(words); i++ {
		word := words[i]
		switch {
		case word == "-c" && i+1 < len(words):
			i++
			word = words[i]
		case strings.HasPrefix(word, "-c"):
			word = word[2:]
		case strings.HasPrefix(word, "--"):
			word = strings.ReplaceAll(word[2:], "-", "_")
		default:
			return request.Refuse(request.CodeUnsupported, step, "", "startup option %q", word)
		}
		name, value, ok := strings.Cut(word, "=")
		if !ok {
			return request.Refuse(request.CodeProtocol, step, "", "startup option %q has no value", name)
		}
		if err := c.setVariable(strings.ToLower(name), value); err != nil {
			return err
		}
	}
	return nil
}

// splitOptions splits options at unescaped white space and removes escaping backslashes.
func splitOptions(options string) []string {
	var words []string
	var word strings.Builder
	escaped := false
	for _, r := range options + " " {
		switch {
		case escaped:
			word.WriteRune(r)
			escaped = false
		case r == '\\':
			escaped = true
		case r == ' ' || r == '\t' || r == '\n':
			if word.Len() > 0 {
				words = append(words, word.String())
			}
			word.Reset()
		default:
			word.WriteRune(r)
		}
	}
	return words
}

// completeStartup sends AuthenticationOk, the parameter statuses, the backend key data and
// the first ReadyForQuery.
func (c *conn) completeStartup(parameters map[string]string) bool {
	out := appendMessages(nil, &pgproto3.AuthenticationOk{})
	for name, value := range map[string]string{
		"server_version":                "16.0 (crocusyoke)",
		"server_encoding":               "UTF8",
		"is_superuser":                  "off",
		"session_authorization":         parameters["user"],
		"integer_datetimes":             "on",
		"in_hot_standby":                "off",
		"default_transaction_read_only": "off",
		varAppName:                      c.variables.appName,
	} {
		out = appendParameterStatus(out, name, value)
	}
	for _, variable := range fixedVariables {
		if variable.reported != "" {
			out = appendParameterStatus(out, variable.reported, variable.value)
		}
	}
	out = c.tokenStatus(out)
	secret := binary.BigEndian.AppendUint32(nil, c.secret)
	out = appendMessages(out, &pgproto3.BackendKeyData{ProcessID: c.pid, SecretKey: secret})
	return c.write(appendReadyForQuery(out, c.txStatus))
}

// failNegotiation tells the caller of a protocol violation before authentication. Other
// errors, such as a timeout, are only counted.
func (c *conn) failNegotiation(err error) {
	if errProtocol.Has(err) {
		c.refuseStartup(err)
		return
	}
	c.server.HandshakeFailed.Add(1)
}

// refuseStartup tells the caller why it is not admitted. Errors other than refusals and
// protocol violations are only counted.
func (c *conn) refuseStartup(err error) {
	switch {
	case errProtocol.Has(err), errTooLarge.Has(err):
		c.server.BadProtocol.Add(1)
		c.writeFatal(request.Refuse(request.CodeProtocol, step, "", "%s", err))
	case isRefusal(err):
		c.writeFatal(request.AsRefusal(err))
	default:
		c.server.HandshakeFailed.Add(1)
	}
}

// equalSecrets compares a and b in constant time.
func equalSecrets(a, b uint32) bool {
	return subtle.ConstantTimeEq(int32(a), int32(b)) == 1
}

func shutdownRefusal() *request.Refusal {
	return request.Refuse(request.CodeShutdown, step, "", "this node is shutting down")
}
