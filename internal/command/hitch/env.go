package hitch

import (
	"os"
	"strings"

	"dotterelhitch/internal/httpx"
	"dotterelhitch/internal/structs"
)

// addresses returns the stated addresses, or those of the environment, as URLs.
func addresses(stated []string, env, flag string) ([]string, error) {
	if len(stated) == 0 {
		stated = strings.Split(os.Getenv(env), ",")
	}
	var urls []string
	for _, address := range stated {
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
		return nil, structs.NewError(structs.CodeInvalid, "no address: state %s or set %s", flag, env)
	}
	return urls, nil
}

// readKeys returns the key of the file, or of the environment, or none.
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
