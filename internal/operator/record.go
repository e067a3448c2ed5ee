package operator

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"

	"sorrelvalve/internal/startup"
)

// Format is the format of the records that this build reads and writes.
const Format = 1

// maxRecordBytes bounds a record: ten thousand routes take about 4 MB.
const maxRecordBytes = 16 << 20

// Errors of records that can't be read, beside those of encoding/json and FieldError.
var (
	ErrTooLarge = fmt.Errorf("a record of at most %d bytes expected", maxRecordBytes)
	ErrHash     = errors.New("hash: it is not that of the file in the record; compile it again")
)

// FormatError says that a record has a format which this build does not read.
type FormatError struct{ Got int }

// Error names both formats and what to do.
func (e *FormatError) Error() string {
	return fmt.Sprintf("format: %d expected, %d there; compile the file with the valvectl of this build", Format, e.Got)
}

// TrailingDataError says that a record goes on after its end.
type TrailingDataError struct{ Offset int64 } // in bytes

// Error tells where the record should have ended.
func (e *TrailingDataError) Error() string {
	return fmt.Sprintf("one object expected, more there after byte %d", e.Offset)
}

// Record is a file as it was compiled.
type Record struct {
	Hash string // SHA-256 of the file's compact JSON, 64 hex digits
	File File
}

// envelope is the form of a record on disk.
type envelope struct {
	Format int             `json:"format"`
	Hash   string          `json:"hash"`
	File   json.RawMessage `json:"file"`
}

// Marshal returns the record of a file that has been checked.
func Marshal(f *File) ([]byte, error) {
	text, err := json.Marshal(f)
	if err != nil {
		return nil, err
	}
	b, err := json.MarshalIndent(envelope{Format, hashOf(text), text}, "", "  ")
	return append(b, '\n'), err
}

// hashOf hashes the text without its white space, so that a record may be laid out freely.
func hashOf(text []byte) string {
	var compact bytes.Buffer
	if json.Compact(&compact, text) != nil {
		return ""
	}
	sum := sha256.Sum256(compact.Bytes())
	return hex.EncodeToString(sum[:])
}

// Load reads the record at path and checks it against the settings. Errors name the record and the key; the first
// FieldError of a file that is wrong can be had by errors.As.
func Load(path string, settings *startup.Config) (*Record, error) {
	b, err := readBounded(path)
	if err != nil {
		return nil, err
	}
	r, err := Parse(b)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	if faults := Check(&r.File, KnownNames(settings)); len(faults) > 0 {
		return nil, fmt.Errorf("%s: %w", path, faults[0])
	}
	return r, nil
}

// readBounded reads a file, but no more than it takes to know that it is too large.
func readBounded(path string) ([]byte, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer func() { _ = f.Close() }() // only read
	return io.ReadAll(io.LimitReader(f, maxRecordBytes+1))
}

// Parse decodes a record strictly; it does not check the file's values.
func Parse(b []byte) (*Record, error) {
	if len(b) > maxRecordBytes {
		return nil, ErrTooLarge
	}
	var e envelope
	if err := decodeStrict(b, &e); err != nil {
		return nil, fmt.Errorf("no record: %w", err)
	}
	if e.Format != Format {
		return nil, &FormatError{e.Format}
	}
	if got := hashOf(e.File); got != e.Hash || got == "" {
		return nil, ErrHash
	}
	r := &Record{Hash: e.Hash}
	if err := decodeStrict(e.File, &r.File); err != nil {
		return nil, fmt.Errorf("file: %w", err)
	}
	return r, nil
}

// decodeStrict decodes one JSON object with no unknown key and nothing behind it.
func decodeStrict(b []byte, into any) error {
	d := json.NewDecoder(bytes.NewReader(b))
	d.DisallowUnknownFields()
	if err := d.Decode(into); err != nil {
		return err
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return &TrailingDataError{d.InputOffset()}
	}
	return nil
}
