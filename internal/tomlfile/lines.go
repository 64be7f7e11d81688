package tomlfile

import (
	"fmt"
	"strings"

	"github.com/pelletier/go-toml/v2/unstable"
)

// keyLines returns the line of each key of a TOML document. It stops silently at the first
// syntax error, because the decoder reports that one.
func keyLines(body []byte) map[string]int {
	index := &lineIndex{lines: map[string]int{}, arrays: map[string]int{}}
	index.parser.Reset(body)
	prefix := ""
	for index.parser.NextExpression() {
		node := index.parser.Expression()
		switch node.Kind {
		case unstable.Table:
			prefix = index.recordHeader(node, false)
		case unstable.ArrayTable:
			prefix = index.recordHeader(node, true)
		case unstable.KeyValue:
			index.recordKeyValue(prefix, node)
		}
	}
	return index.lines
}

// lineIndex records the line of each key while its parser goes through a document.
type lineIndex struct {
	parser unstable.Parser
	lines  map[string]int
	// arrays has the number of elements seen so far of each array of tables, by its key.
	arrays map[string]int
}

// recordHeader records the line of a table header and returns its full key, which contains the
// current index of each array of tables on its path.
func (x *lineIndex) recordHeader(header *unstable.Node, array bool) string {
	path := ""
	line := 0
	keys := header.Key()
	for keys.Next() {
		part := keys.Node()
		line = x.lineOf(part)
		path = joinKey(path, string(part.Data))
		last := keys.IsLast()
		if last && array {
			x.arrays[path]++
		}
		if count := x.arrays[path]; count > 0 {
			path = fmt.Sprintf("%s[%d]", path, count-1)
		}
	}
	x.lines[path] = line
	return path
}

func (x *lineIndex) recordKeyValue(prefix string, node *unstable.Node) {
	path := prefix
	line := 0
	keys := node.Key()
	for keys.Next() {
		part := keys.Node()
		line = x.lineOf(part)
		path = joinKey(path, string(part.Data))
	}
	x.lines[path] = line
	x.recordInlineKeys(path, node.Value())
}

// recordInlineKeys records the keys in the inline tables and arrays of a value.
func (x *lineIndex) recordInlineKeys(path string, node *unstable.Node) {
	children := node.Children()
	switch node.Kind {
	case unstable.InlineTable:
		for children.Next() {
			x.recordKeyValue(path, children.Node())
		}
	case unstable.Array:
		for i := 0; children.Next(); i++ {
			x.recordInlineKeys(fmt.Sprintf("%s[%d]", path, i), children.Node())
		}
	}
}

func (x *lineIndex) lineOf(key *unstable.Node) int {
	return x.parser.Shape(key.Raw).Start.Line
}

func joinKey(prefix, part string) string {
	return strings.TrimPrefix(prefix+"."+part, ".")
}
