// Package tomlfile decodes TOML strictly, so that unknown keys are errors, and records the
// line of every key. Errors that are found only after decoding, such as values that
// contradict each other, can therefore name file, line and key, too.
package tomlfile

import (
	"errors"
	"fmt"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// Issue is one problem in a file.
type Issue struct {
	// File is the name of the file as the operator gave it.
	File string
	// Line is the line number, counted from 1; 0 if it is unknown.
	Line int
	// Key is the full key, such as "service[2].group"; indexes start at 0.
	Key string
	// Text describes the problem.
	Text string
}

// Error implements error.
func (i Issue) Error() string {
	where := i.File
	if i.Line > 0 {
		where += fmt.Sprintf(":%d", i.Line)
	}
	if i.Key == "" {
		return fmt.Sprintf("%s: %s", where, i.Text)
	}
	return fmt.Sprintf("%s: %s: %s", where, i.Key, i.Text)
}

// UnknownKey is the text of an issue about a key that the decoded struct lacks.
const UnknownKey = "unknown key"

// Issues are all issues of a file, as an error.
type Issues []Issue

// Error implements error. It returns one line per issue.
func (is Issues) Error() string {
	lines := make([]string, len(is))
	for i, issue := range is {
		lines[i] = issue.Error()
	}
	return strings.Join(lines, "\n")
}

// Document is a decoded file with the issues found so far.
type Document struct {
	file   string
	lines  map[string]int
	issues Issues
}

// Decode decodes body into the struct that into points to. Unknown keys, values of the wrong
// type and syntax errors become issues of the returned Document.
func Decode(body []byte, file string, into any) *Document {
	doc := &Document{file: file, lines: keyLines(body)}
	decoder := toml.NewDecoder(strings.NewReader(string(body))).DisallowUnknownFields()
	err := decoder.Decode(into)
	doc.addDecodeError(err)
	return doc
}

func (d *Document) addDecodeError(err error) {
	if err == nil {
		return
	}
	var unknown *toml.StrictMissingError
	if errors.As(err, &unknown) {
		for i := range unknown.Errors {
			d.addErrorAtPosition(&unknown.Errors[i], UnknownKey)
		}
		return
	}
	var decodeErr *toml.DecodeError
	if errors.As(err, &decodeErr) {
		d.addErrorAtPosition(decodeErr, strings.TrimPrefix(decodeErr.Error(), "toml: "))
		return
	}
	d.issues = append(d.issues, Issue{File: d.file, Text: err.Error()})
}

func (d *Document) addErrorAtPosition(err *toml.DecodeError, text string) {
	line, _ := err.Position()
	key := d.keyAt(line)
	if key == "" {
		key = strings.Join(err.Key(), ".")
	}
	d.issues = append(d.issues, Issue{File: d.file, Line: line, Key: key, Text: text})
}

// keyAt returns the longest key that starts at line, or "" if there is none. Of several keys
// with this length, it returns the one that sorts first.
func (d *Document) keyAt(line int) string {
	found := ""
	for key, start := range d.lines {
		if start == line && (len(key) > len(found) || len(key) == len(found) && key < found) {
			found = key
		}
	}
	return found
}

// Has reports whether the file contains key.
func (d *Document) Has(key string) bool {
	_, ok := d.lines[key]
	return ok
}

// Line returns the line of key or, if the file lacks it, of the innermost enclosing table in
// the file. It returns 0 if there is no such table.
func (d *Document) Line(key string) int {
	for key != "" {
		if line, ok := d.lines[key]; ok {
			return line
		}
		cut := strings.LastIndexAny(key, ".[")
		if cut < 0 {
			return 0
		}
		key = key[:cut]
	}
	return 0
}

// Add records an issue of the value at key.
func (d *Document) Add(key, format string, args ...any) {
	issue := Issue{File: d.file, Line: d.Line(key), Key: key, Text: fmt.Sprintf(format, args...)}
	d.issues = append(d.issues, issue)
}

// IsValid reports whether no issue was recorded so far, by Decode or Add.
func (d *Document) IsValid() bool { return len(d.issues) == 0 }

// Err returns all issues as an error of type Issues, or nil if there are none.
func (d *Document) Err() error {
	if len(d.issues) == 0 {
		return nil
	}
	return d.issues
}
