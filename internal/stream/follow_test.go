package stream

import (
	"context"
	"slices"
	"strings"
	"testing"
	"time"

	"dotterelhitch/internal/structs"
)

// pagedTopic is a keyed topic whose pages hold pageSize records. As in the platform's log, keys
// that are not UTF-8 are ordered by their bytes and returned with replacement characters.
type pagedTopic struct {
	keys     []string
	pageSize int
	pages    int
}

// maxTestPages is more pages than any test topic has.
const maxTestPages = 1000

func (p *pagedTopic) Newest(_ context.Context, _, after string) (Page, error) {
	p.pages++
	if p.pages > maxTestPages {
		return Page{}, structs.NewError(structs.CodeInvalid, "more than %d pages", maxTestPages)
	}
	keys := slices.Compact(slices.Sorted(slices.Values(p.keys)))
	from, found := slices.BinarySearch(keys, after)
	if found {
		from++
	}
	to := min(from+p.pageSize, len(keys))
	page := Page{HasMore: to < len(keys), End: int64(len(keys))}
	for _, key := range keys[from:to] {
		page.Records = append(page.Records, Record{Key: strings.ToValidUTF8(key, "\uFFFD"), Value: []byte("v")})
	}
	return page, nil
}

func (p *pagedTopic) Read(context.Context, string, int64, time.Duration) (Batch, error) {
	return Batch{}, structs.NewError(structs.CodeUnavailable, "not used")
}

// TestPagesOfOddKeysEnd guards against a reload that reads the same page for ever, and keeps all of
// it in memory, because the last key of the page is returned as a lower one.
func TestPagesOfOddKeysEnd(t *testing.T) {
	for name, odd := range map[string][]string{
		"byte without a character": {"i-\xff"},
		"cut character":            {"i-\xf0\x9f"},
		"several":                  {"i-\xff", "i-\xfe\x01", "i-\xfe\x02", "\xf5", "j\xff\xff\xff"},
		"readable ones":            {"i-\u00e9", "i-\uFFFD", "\U0010FFFF"},
	} {
		for pageSize := 1; pageSize <= 4; pageSize++ {
			good := []string{"h", "i-1", "i-2", "j", "k", "z"}
			topic := &pagedTopic{keys: append(slices.Clone(good), odd...), pageSize: pageSize}
			records, end, err := ReadNewest(context.Background(), topic, "keyed.t")
			if err != nil || end != int64(len(topic.keys)) {
				t.Errorf("%s, pages of %d: ended at %d, %v", name, pageSize, end, err)
				continue
			}
			for _, key := range good {
				if !slices.ContainsFunc(records, func(r Record) bool { return r.Key == key }) {
					t.Errorf("%s, pages of %d: %s is missing", name, pageSize, key)
				}
			}
		}
	}
}

// emptyPages is a topic whose pages hold nothing although more is said to follow.
type emptyPages struct{ pagedTopic }

func (*emptyPages) Newest(context.Context, string, string) (Page, error) {
	return Page{HasMore: true, End: 7}, nil
}

// TestEmptyPageIsNoEnd guards against a topic that is taken for read, so that its records are lost to the reader, at an
// empty page with more to follow.
func TestEmptyPageIsNoEnd(t *testing.T) {
	if records, _, err := ReadNewest(context.Background(), &emptyPages{}, "keyed.t"); structs.CodeOf(err) != structs.CodeInternal {
		t.Errorf("%d records, %v, want an error", len(records), err)
	}
}

// FuzzPagesEnd checks that the reading of a topic ends, and returns all keys that are ASCII, whatever
// the other keys are.
func FuzzPagesEnd(f *testing.F) {
	f.Add("a", "b\xff", "b\xfe\x01", "c", uint8(1))
	f.Add("\xff", "\xff\xff", "\xf5\x00", "z", uint8(2))
	f.Add("i-\xf0\x9f", "i-\ufffd", "i-\u00e9", "i.", uint8(1))
	f.Add("", "\x00", "\x7f", "\U0010FFFF", uint8(0))
	f.Fuzz(func(t *testing.T, a, b, c, d string, pageSize uint8) {
		topic := &pagedTopic{keys: []string{a, b, c, d, "m", "z9"}, pageSize: 1 + int(pageSize%4)}
		for _, key := range topic.keys {
			if len(key) > maxKeyBytes {
				return
			}
		}
		records, _, err := ReadNewest(context.Background(), topic, "keyed.t")
		if err != nil {
			if structs.CodeOf(err) != structs.CodeInternal {
				t.Fatal(err)
			}
			return
		}
		for _, key := range topic.keys {
			ascii := !strings.ContainsFunc(key, func(r rune) bool { return r > 0x7f })
			if key != "" && ascii && !slices.ContainsFunc(records, func(r Record) bool { return r.Key == key }) {
				t.Fatalf("%q, pages of %d: %q is missing", topic.keys, topic.pageSize, key)
			}
		}
	})
}
