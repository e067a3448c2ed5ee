package gossip

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math/rand"
	"slices"
	"testing"

	"google.golang.org/protobuf/encoding/protowire"
	"pgregory.net/rapid"
)

func record(origin, key string, generation, sequence uint64, body string) []byte {
	return (&Record{Origin: origin, Key: key, Generation: generation, Incarnation: generation*10 + 1, Sequence: sequence, Body: []byte(body)}).Append(nil)
}

func TestLastWriterWins(t *testing.T) {
	for _, c := range []struct {
		name string
		raw  []byte
		want PutResult
		body string // stored under origin a, key k afterwards
	}{
		{"first", record("a", "k", 2, 5, "x"), Updated, "x"},
		{"same version", record("a", "k", 2, 5, "x"), Duplicate, "x"},
		{"older sequence", record("a", "k", 2, 4, "y"), Stale, "x"},
		{"newer sequence", record("a", "k", 2, 6, "y"), Updated, "y"},
		{"earlier generation, larger sequence", record("a", "k", 1, 99, "z"), Stale, "y"},
		{"later generation, smaller sequence", record("a", "k", 3, 1, "z"), Updated, "z"},
		{"corrupt", append(record("a", "k", 9, 1, "q")[:20], 1, 2, 3, 4, 5, 6), Corrupt, "z"},
		{"empty", nil, Corrupt, "z"},
		{"too long", record("a", "k", 9, 1, string(make([]byte, 2000))), OverLimit, "z"},
	} {
		t.Run(c.name, func(t *testing.T) {
			if _, got := sharedTable.Put(1, c.raw); got != c.want {
				t.Errorf("result of Put: %d, want %d", got, c.want)
			}
			if r, _, _ := sharedTable.Get(1, "a", "k"); string(r.Body) != c.body {
				t.Errorf("stored body: %q, want %q", r.Body, c.body)
			}
		})
	}
	if n := sharedTable.Counts; n != (Counts{Updated: 3, Duplicate: 1, Stale: 2, Corrupt: 2, OverLimit: 1}) {
		t.Errorf("counts after all cases: %+v", n)
	}
}

var sharedTable = NewTable(DefaultLimits)

// Unknown fields, as a later version may add, are skipped when a record is parsed, and passed on.
func TestUnknownFields(t *testing.T) {
	plain := record("a", "k", 1, 1, "x")
	raw := protowire.AppendString(protowire.AppendTag(nil, 9, protowire.BytesType), "of a later build")
	raw = append(raw, plain[:len(plain)-checksumBytes]...)
	raw = appendChecksum(raw, 0)
	table := NewTable(DefaultLimits)
	if r, result := table.Put(1, raw); result != Updated || string(r.Body) != "x" {
		t.Fatalf("record with an unknown field: Put returned %d, record %+v", result, r)
	}
	if out := table.AppendState(nil, 1<<20); !bytes.Contains(out, []byte("of a later build")) {
		t.Error("the unknown field was not passed on")
	}
}

func TestLimits(t *testing.T) {
	table := NewTable(Limits{MaxOrigins: 3, MaxKeysPerOrigin: 2, MaxRecordBytes: 200, MaxOriginBytes: 220})
	for i := range 50 {
		table.Put(1, record(fmt.Sprint("o", i%7), fmt.Sprint("k", i%5), 1, uint64(i), string(make([]byte, i*3))))
	}
	for name, o := range table.origins {
		if len(o.records) > 2 || o.bytes > 220 {
			t.Errorf("origin %s: %d records of %d bytes in total, want at most 2 and 220", name, len(o.records), o.bytes)
		}
	}
	if len(table.origins) != 3 || table.Counts.OverLimit == 0 {
		t.Errorf("%d origins, %d records over the limits; want 3 origins and some records over the limits", len(table.origins), table.Counts.OverLimit)
	}
}

// Tables that received the same records hold the same state, in whatever order and however often the records arrived. Size
// returns the total size of the stored records.
func TestAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var records [][]byte
		for range rapid.IntRange(1, 40).Draw(t, "records") {
			generation := rapid.Uint64Range(1, 3).Draw(t, "generation")
			records = append(records, (&Record{
				Origin: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "origin"), Key: rapid.SampledFrom([]string{"k", "l"}).Draw(t, "key"),
				Generation: generation, Incarnation: rapid.Uint64Range(1, 2).Draw(t, "incarnation"), Sequence: rapid.Uint64Range(1, 5).Draw(t, "sequence"),
				Body: []byte("same for one life and sequence"),
			}).Append(nil))
		}
		var states [2][]byte
		for i := range states {
			table := NewTable(DefaultLimits)
			rng := rand.New(rand.NewSource(rapid.Int64().Draw(t, "order")))
			for range 2 {
				rng.Shuffle(len(records), func(i, j int) { records[i], records[j] = records[j], records[i] })
				for _, raw := range records {
					table.Put(1, raw)
				}
			}
			_, _, size := table.Size()
			state := table.AppendState(nil, 1<<20)
			var parts [][]byte
			sum := 0
			SplitState(state, func(raw []byte) { parts = append(parts, raw); sum += len(raw) })
			if sum != size {
				t.Fatalf("size of all records: %d bytes, records in the state: %d bytes", size, sum)
			}
			slices.SortFunc(parts, bytes.Compare)
			states[i] = bytes.Join(parts, nil)
		}
		if !bytes.Equal(states[0], states[1]) {
			t.Fatal("two tables that received the same records hold different states")
		}
	})
}

func FuzzPut(f *testing.F) {
	f.Add(record("a", "k", 1, 1, "x"))
	f.Fuzz(func(t *testing.T, b []byte) {
		table := NewTable(DefaultLimits)
		if r, result := table.Put(1, b); result == Updated {
			if _, again := table.Put(2, b); again != Duplicate {
				t.Fatalf("record %+v put twice: second result %d, want Duplicate", r, again)
			}
		}
		SplitState(b, func(raw []byte) { table.Put(1, raw) })
	})
}

// Fleet status prints Counts as JSON with these names.
func TestCountsJSON(t *testing.T) {
	got, err := json.Marshal(Counts{Updated: 1, Duplicate: 2, Stale: 3, Corrupt: 4, OverLimit: 5})
	if err != nil {
		t.Fatal(err)
	}
	if want := `{"News":1,"Known":2,"Old":3,"Damaged":4,"Over":5}`; string(got) != want {
		t.Errorf("JSON of Counts: %s, want %s", got, want)
	}
}
