package soak

import (
	"fmt"
	"math/rand/v2"
	"strings"
)

const (
	// maxLineBytes is the size of the longest line in bytes, with its line end.
	maxLineBytes = 1 << 20
	// maxLongText is the size of the longest text in bytes, but for data.
	maxLongText = 6 << 10
	// Of hugeDataEvery writes one has data that make its line nearly as long as it may be, or just as long.
	hugeDataEvery = 1500
	hugeDataSlack = 64
	// Percentages of the texts of sessions that are not plain: that are odd, and that are long.
	shareOdd  = 75
	shareLong = 4
)

// words are texts that sessions share, so that one begins like another.
var words = []string{"q", "q3a", "qb", "r", "w", "s1", "1", "read1", "stitch"}

// names are names of values and of prepared statements. All sessions draw from the same few.
var names = []string{"s1", "s2", "q", "w", "wq", "rq", "-", "1", "READ", "PREPARE", "n\xff", "n\x00", "n\té", "tz"}

// oddTexts are texts with bytes that a line may have but must not be split at. Some have words of the
// protocol.
var oddTexts = []string{
	" ", "  two  blanks  ", " q", "q ", "\tq", "q\t", "\x00", "q\x00q", "\xff\xfe", "q\xc3", "é ü", "-", "- -", "- RESET",
	"READ q", "WRITE q", "PREPARE 1 READ q", "READ q PREPARE q READ w", "QUERY - RESET", "EXEC q 1 data", "AFTER 1.1 READ q",
	"COMPLETE -", "COMMIT", "BEGIN READ", "$1 %s \\r\\n '\"", "*",
}

// drawText draws a text of a session. Plain sessions have words only.
func drawText(random *rand.Rand, plain bool) string {
	word := words[random.IntN(len(words))]
	switch {
	case plain || !isOneOf(random, shareOdd):
		return word
	case isOneOf(random, shareLong):
		return word + " " + drawBytes(random, random.IntN(maxLongText))
	case isOneOf(random, 30):
		return word + " " + []string{"READ ", "WRITE ", ""}[random.IntN(3)] + words[random.IntN(len(words))]
	}
	return oddTexts[random.IntN(len(oddTexts))]
}

// drawBytes returns bytes of all kinds but CR and LF.
func drawBytes(random *rand.Rand, length int) string {
	var text strings.Builder
	for range length {
		b := byte(random.IntN(256))
		if b == '\r' || b == '\n' {
			b = ' '
		}
		text.WriteByte(b)
	}
	return text.String()
}

// drawName draws a name of a value or of a prepared statement.
func drawName(random *rand.Rand, plain bool) string {
	if plain {
		return words[random.IntN(len(words))]
	}
	return names[random.IntN(len(names))]
}

// drawItem draws an item that nothing writes. The last field of a line may have blanks.
func drawItem(random *rand.Rand, plain, isLastField bool) string {
	if plain || !isOneOf(random, shareOdd) {
		return "steady"
	}
	item := drawText(random, false)
	if !isLastField {
		item = strings.ReplaceAll(item, " ", "_")
	}
	return item
}

// drawData draws the data of a write whose line is otherwise of the given length in bytes.
func drawData(random *rand.Rand, plain bool, lineLength int) string {
	if random.IntN(hugeDataEvery) == 0 {
		length := maxLineBytes - lineLength
		if random.IntN(2) == 0 {
			length -= random.IntN(hugeDataSlack)
		}
		return strings.Repeat("d", length)
	}
	if plain {
		return "data"
	}
	return drawText(random, false)
}

// itemSuffixes make items of all kinds of bytes. Items that are written have no blanks.
var itemSuffixes = []string{"", "", "\xff", "\x00", "\té", "=READ"}

// shorten returns a text of a report in quotes, without the middle of a long one.
func shorten(text string) string {
	const kept = 60
	if len(text) <= 2*kept {
		return fmt.Sprintf("%q", text)
	}
	return fmt.Sprintf("%q .. %q (%d bytes)", text[:kept], text[len(text)-kept:], len(text))
}
