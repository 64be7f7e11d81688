package record

import (
	"bufio"
	"encoding/binary"
	"errors"
	"io"
	"os"
	"strings"
	"sync"

	"github.com/cespare/xxhash/v2"
	"github.com/zeebo/errs"
)

// maxTextBytes is the size beyond which a text is truncated.
const maxTextBytes = 1 << 20

// Seen records the texts that a target has received: startup parameters, passwords, queries
// and bound parameters. Each distinct text is written to a file once, so that the record
// survives a kill of the target. The number of times that a text was received is kept in
// memory only.
type Seen struct {
	mu   sync.Mutex
	file *os.File
	// counts maps a text's hash to the number of times that it was received.
	counts map[uint64]int64
	// incomplete counts the texts that were truncated and the writes that failed.
	incomplete int64
}

// OpenSeen opens the record at path and creates it if it does not exist.
func OpenSeen(path string) (*Seen, error) {
	file, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_RDWR, 0o600)
	return &Seen{file: file, counts: make(map[uint64]int64)}, errs.Wrap(err)
}

// Add records text. It ignores the empty text.
func (s *Seen) Add(text string) {
	if text == "" {
		return
	}
	hash := xxhash.Sum64String(text)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts[hash]++
	if s.counts[hash] > 1 {
		return
	}
	if len(text) > maxTextBytes {
		s.incomplete++
		text = text[:maxTextBytes]
	}
	entry := binary.BigEndian.AppendUint32(make([]byte, 0, len(text)+4), uint32(len(text)))
	if _, err := s.file.Write(append(entry, text...)); err != nil {
		s.incomplete++
	}
}

// Count returns how often a text that contains substring was received, and how many texts
// are incomplete in the record. A distinct text that was received only before a restart
// counts once.
func (s *Seen) Count(substring string) (count, incomplete int64, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	size, err := s.file.Seek(0, io.SeekEnd)
	if err != nil {
		return 0, s.incomplete, errs.Wrap(err)
	}
	reader := bufio.NewReader(io.NewSectionReader(s.file, 0, size))
	for {
		text, err := readText(reader)
		if errors.Is(err, io.EOF) {
			return count, s.incomplete, nil
		}
		if err != nil {
			return count, s.incomplete, errs.Wrap(err)
		}
		if strings.Contains(text, substring) {
			count += max(1, s.counts[xxhash.Sum64String(text)])
		}
	}
}

// readText reads one text, which is preceded by its length as 4 big-endian bytes. It returns
// io.EOF at the end of the record.
func readText(reader *bufio.Reader) (string, error) {
	var header [4]byte
	if _, err := io.ReadFull(reader, header[:]); err != nil {
		return "", err
	}
	size := binary.BigEndian.Uint32(header[:])
	if size > maxTextBytes {
		return "", errs.New("record of received texts is corrupt")
	}
	text := make([]byte, size)
	_, err := io.ReadFull(reader, text)
	return string(text), err
}

// Close closes the record's file.
func (s *Seen) Close() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return errs.Wrap(s.file.Close())
}
