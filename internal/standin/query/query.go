// Package query reads numbers from the query of a request.
package query

import (
	"net/http"
	"net/url"
	"strconv"
	"time"

	"dotterelhitch/internal/structs"
)

// Values reads the parameters of one request and keeps the first error.
type Values struct {
	values url.Values
	err    error
}

// New returns the parameters of a request.
func New(r *http.Request) *Values {
	return &Values{values: r.URL.Query()}
}

// Int returns a parameter that must not be negative, or its default.
func (v *Values) Int(name string, def int64) int64 {
	s := v.values.Get(name)
	if s == "" {
		return def
	}
	n, err := strconv.ParseInt(s, 10, 64)
	if err != nil || n < 0 {
		v.fail(name, s)
		return def
	}
	return n
}

// Millis returns a parameter in milliseconds, at most limit; zero if not given.
func (v *Values) Millis(name string, limit time.Duration) time.Duration {
	ms := v.Int(name, 0)
	if ms > limit.Milliseconds() {
		return limit
	}
	return time.Duration(ms) * time.Millisecond
}

// Err returns the first error of the parameters read so far.
func (v *Values) Err() error { return v.err }

func (v *Values) fail(name, value string) {
	if v.err != nil {
		return
	}
	v.err = structs.NewError(structs.CodeInvalid, "parameter %s=%q: want a whole number, not negative", name, value)
}
