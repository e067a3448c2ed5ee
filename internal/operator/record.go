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

// Format is the version of the record format that this build reads and writes.
const Format = 1

// maxRecordBytes bounds the size of a record. Ten thousand routes take about 4 MB.
const maxRecordBytes = 16 << 20

// Errors of Load and Parse, in addition to FormatError, TrailingDataError, FieldError and the errors of encoding/json.
var (
	ErrTooLarge = fmt.Errorf("a record of at most %d bytes expected", maxRecordBytes)
	ErrHash     = errors.New("hash: it is not that of the file in the record; compile it again")
)

// FormatError reports a record in a format that this build does not read.
type FormatError struct{ Got int }

// Error returns both formats and the remedy.
func (e *FormatError) Error() string {
	return fmt.Sprintf("format: %d expected, %d there; compile the file with the valvectl of this build", Format, e.Got)
}

// TrailingDataError reports data after the JSON object of a record.
type TrailingDataError struct{ Offset int64 } // of the end of the object, in bytes

// Error returns the offset at which the record should have ended.
func (e *TrailingDataError) Error() string {
	return fmt.Sprintf("one object expected, more there after byte %d", e.Offset)
}

// Record is a compiled operator's file.
type Record struct {
	Hash string // SHA-256 of the file's compact JSON, 64 hex digits
	File File
}

// envelope is the JSON form of a record.
type envelope struct {
	Format int             `json:"format"`
	Hash   string          `json:"hash"`
	File   json.RawMessage `json:"file"`
}

// Marshal returns the record of a file. The caller has checked the file.
func Marshal(f *File) ([]byte, error) {
	text, err := json.Marshal(f)
	if err != nil {
		return nil, err
	}
	b, err := json.MarshalIndent(envelope{Format, hashOf(text), text}, "", "  ")
	return append(b, '\n'), err
}

// hashOf hashes JSON without its insignificant white space, so that reformatting a record does not change its hash. It returns
// "" for invalid JSON.
func hashOf(text []byte) string {
	var compact bytes.Buffer
	if json.Compact(&compact, text) != nil {
		return ""
	}
	sum := sha256.Sum256(compact.Bytes())
	return hex.EncodeToString(sum[:])
}

// Load reads the record at path and checks it against the settings. Errors name the path of the record and the key. If values
// are invalid, errors.As returns the first FieldError.
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

// readBounded reads at most maxRecordBytes+1 bytes of a file, enough to detect a record that is too large.
func readBounded(path string) ([]byte, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer func() { _ = f.Close() }() // opened for reading
	return io.ReadAll(io.LimitReader(f, maxRecordBytes+1))
}

// Parse decodes a record strictly and verifies its hash. It does not check the values of the file.
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
	if hash := hashOf(e.File); hash != e.Hash || hash == "" {
		return nil, ErrHash
	}
	r := &Record{Hash: e.Hash}
	if err := decodeStrict(e.File, &r.File); err != nil {
		return nil, fmt.Errorf("file: %w", err)
	}
	return r, nil
}

// decodeStrict decodes one JSON value. Unknown keys and trailing data are errors.
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
