package hitch

import (
	"os"
	"strings"

	"dotterelhitch/internal/httpx"
	"dotterelhitch/internal/structs"
)

// addresses returns the addresses given on the command line or, without any, those
// in the environment variable env, as URLs. An address without a scheme gets
// http://.
func addresses(given []string, env, flag string) ([]string, error) {
	if len(given) == 0 {
		given = strings.Split(os.Getenv(env), ",")
	}
	var urls []string
	for _, address := range given {
		address = strings.TrimSpace(address)
		if address == "" {
			continue
		}
		if !strings.Contains(address, "://") {
			address = "http://" + address
		}
		urls = append(urls, address)
	}
	if len(urls) == 0 {
		return nil, structs.NewError(structs.CodeInvalid, "no address: give %s or set $%s", flag, env)
	}
	return urls, nil
}

// readKeys returns the key in the file or, without a file, in the environment
// variable env. It returns no keys if both are empty.
func readKeys(file, env string) (httpx.Keys, error) {
	key := os.Getenv(env)
	if file != "" {
		b, err := os.ReadFile(file)
		if err != nil {
			return nil, structs.NewError(structs.CodeInvalid, "key file: %v", err)
		}
		key = string(b)
	}
	key = strings.TrimSpace(key)
	if key == "" {
		return nil, nil
	}
	return httpx.Keys{key}, nil
}
