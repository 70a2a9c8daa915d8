package timeofday

import (
	"testing"
	"time"
)

func TestAgree(t *testing.T) {
	const hour, second = time.Hour, time.Second
	for name, c := range map[string]struct {
		ahead   []time.Duration
		present time.Duration
		want    time.Duration
	}{
		"no clocks":                                   {nil, hour, hour},
		"own clock alone":                             {[]time.Duration{0}, 0, 0},
		"small differences":                           {[]time.Duration{0, 900 * time.Millisecond, 950 * time.Millisecond}, 0, 0},
		"own clock behind":                            {[]time.Duration{0, hour, hour}, 0, hour},
		"own clock ahead":                             {[]time.Duration{0, -hour, -hour}, 0, -hour},
		"one other clock ahead":                       {[]time.Duration{0, 0, hour}, 0, 0},
		"one other clock behind":                      {[]time.Duration{0, 0, -hour}, 0, 0},
		"one ahead and one behind":                    {[]time.Duration{0, hour, -hour}, 0, 0},
		"half are ahead, nothing known before":        {[]time.Duration{0, 0, hour, hour}, 0, 0},
		"half are behind, nothing known before":       {[]time.Duration{0, 0, -hour, -hour}, 0, 0},
		"own half is wrong, the other half was right": {[]time.Duration{0, 0, hour, hour}, hour, hour},
		"the former result is outvoted":               {[]time.Duration{0, 0, 0, hour, hour}, hour, 0},
		"readings vary":                               {[]time.Duration{0, hour + 300*time.Millisecond, hour + 400*time.Millisecond}, hour, hour},
		"the clock is right again":                    {[]time.Duration{0, 0, 100 * time.Millisecond}, hour, 0},
		"wrong clocks that differ":                    {[]time.Duration{0, -150 * second, -150 * second, hour, -150 * second}, 0, -150 * second},
	} {
		t.Run(name, func(t *testing.T) {
			if got := Agree(c.ahead, c.present); got != c.want {
				t.Errorf("%v, want %v", got, c.want)
			}
		})
	}
}

func TestMeasure(t *testing.T) {
	sent := time.UnixMilli(1_000_000)
	received := sent.Add(400 * time.Millisecond)
	got := Measure(sent, received, sent.Add(-time.Hour))
	if want := (Reading{Ahead: time.Hour + 200*time.Millisecond, MaxError: 200 * time.Millisecond}); got != want {
		t.Errorf("%+v, want %+v", got, want)
	}
	if !got.Usable() {
		t.Error("a reading with an error of 200 ms does not count")
	}
	if Measure(sent, sent.Add(1002*time.Millisecond), sent).Usable() {
		t.Error("a reading with an error of 501 ms counts")
	}
}
