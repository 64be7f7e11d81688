package hosted

import (
	"bufio"
	"bytes"
	"errors"
	"strings"
)

// maxLineBytes is the size of the longest line in bytes, with its line end.
const maxLineBytes = 1 << 20

var errLineTooLong = errors.New("line too long")

var lineEnd = []byte("\r\n")

// readLine returns the next line without its CR LF. A CR or LF alone is part of the line.
func readLine(in *bufio.Reader) (string, error) {
	var line []byte
	for {
		part, err := in.ReadSlice('\n')
		line = append(line, part...)
		if len(line) > maxLineBytes {
			return "", errLineTooLong
		}
		if bytes.HasSuffix(line, lineEnd) {
			return string(line[:len(line)-len(lineEnd)]), nil
		}
		if err != nil && !errors.Is(err, bufio.ErrBufferFull) {
			return "", err
		}
	}
}

// startup holds the fields of the first line of a connection. id is empty if the line has none.
type startup struct{ service, customer, id string }

// parseStartup reports false if the line has a wrong number of fields, or an empty one other than the customer.
// Fields are separated by exactly one blank.
func parseStartup(line string) (startup, bool) {
	fields := strings.Split(line, " ")
	if len(fields) < 3 || len(fields) > 4 || fields[0] != "STARTUP" {
		return startup{}, false
	}
	if fields[1] == "" || len(fields) == 4 && fields[3] == "" {
		return startup{}, false
	}
	s := startup{service: fields[1], customer: fields[2]}
	if len(fields) == 4 {
		s.id = fields[3]
	}
	return s, true
}

// parseQuery returns the ID and the text of a statement.
func parseQuery(line string) (id, text string, ok bool) {
	fields := strings.SplitN(line, " ", 3)
	if len(fields) < 3 || fields[0] != "QUERY" || fields[1] == "" || fields[2] == "" {
		return "", "", false
	}
	return fields[1], fields[2], true
}
