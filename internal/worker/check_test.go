package worker

import (
	"encoding/json"
	"testing"
)

func FuzzInventory(f *testing.F) {
	f.Add([]byte(`{"seq":1,"boot":"b","tasks":[{"task":"g:j#0","attempt":1,"state":"running"}]}`))
	f.Add([]byte(`{"seq":1,"boot":"b","tasks":[{"task":"a","state":"running"},{"task":"a","state":"failed"}]}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		var inv Inventory
		if json.Unmarshal(body, &inv) != nil || inv.check() != nil {
			return
		}
		seen := map[TaskRef]bool{}
		for _, task := range inv.Tasks {
			if seen[task.TaskRef] || task.Size.HasNegative() {
				t.Fatalf("accepted %+v", inv)
			}
			seen[task.TaskRef] = true
		}
	})
}

func FuzzResults(f *testing.F) {
	f.Add([]byte(`{"results":[{"task":"g:j#0","attempt":1,"error":null}]}`))
	f.Add([]byte(`{"results":[{"task":"g:j#0","attempt":2,"error":{"code":"invalid"}}]}`))
	asked := []TaskRef{{Task: "g:j#0", Attempt: 1}}
	f.Fuzz(func(t *testing.T, body []byte) {
		var r TaskResults
		if json.Unmarshal(body, &r) != nil {
			return
		}
		got, err := r.check(len(asked), func(i int) TaskRef { return asked[i] })
		if err == nil && (len(got) != 1 || got[0].TaskRef != asked[0]) {
			t.Fatalf("accepted %+v", r)
		}
	})
}
