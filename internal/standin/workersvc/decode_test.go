package workersvc

import (
	"bytes"
	"testing"

	"dotterelhitch/internal/structs"
)

func TestAnswerDependsOnTheBodyAndHasTheSizeAsked(t *testing.T) {
	for _, c := range []struct {
		body string
		size int
	}{
		{"", DefaultAnswerBytes},
		{"hello", DefaultAnswerBytes},
		{"answer-bytes=1000;hello", 1000},
		{"service-ms=5;answer-bytes=0;hello", 0},
		{"answer-bytes=-1;hello", DefaultAnswerBytes},
		{"answer-bytes=99999999;", structs.MaxAnswerBytes},
	} {
		if got := Answer([]byte(c.body)); len(got) != c.size || !bytes.Equal(got, Answer([]byte(c.body))) {
			t.Errorf("Answer(%q): %d bytes, want the same %d each time", c.body, len(got), c.size)
		}
	}
	if bytes.Equal(Answer([]byte("a")), Answer([]byte("b"))) {
		t.Error("two bodies have the same answer")
	}
}

func FuzzRequestOptions(f *testing.F) {
	f.Add([]byte("answer-bytes=10;service-ms=20;x"))
	f.Add([]byte("service-ms=;=;;"))
	f.Fuzz(func(t *testing.T, body []byte) {
		o := parseOptions(body)
		if o.answerBytes < 0 || o.answerBytes > structs.MaxAnswerBytes || o.service > maxServiceTime {
			t.Errorf("%q: options %+v out of bounds", body, o)
		}
	})
}

func FuzzPayload(f *testing.F) {
	f.Add("fail-on:a,b usage:cpu=0.5,mem=1.2 run:2 checkpoint")
	f.Add("usage:cpu=NaN,mem=Inf run:-1")
	f.Fuzz(func(t *testing.T, text string) {
		p := parsePayload(text)
		for _, v := range []float64{p.cpuFactor, p.memFactor, p.runFactor} {
			if !(v >= 0 && v <= maxFactor) {
				t.Errorf("%q: factor %v out of bounds", text, v)
			}
		}
	})
}

func FuzzLapse(f *testing.F) {
	f.Add("lease lapsed 12us before")
	f.Fuzz(func(t *testing.T, detail string) {
		if before, ok := ParseLeaseLapse(detail); ok && before < 0 {
			t.Errorf("%q: %v is negative", detail, before)
		}
	})
}
