#pragma once

#include <string>

namespace Quetzallift
{
// An Ed25519 key pair in hexadecimal.
struct KeyPair {
    std::string publicKey;
    std::string secretKey;
};

// Generates a key pair with the system's random number generator.
KeyPair generateKeyPair();

// Signs the digest of a bundle. Throws Error if the key is not a secret key in hexadecimal.
std::string signDigest(const std::string &digest, const std::string &secretKey);

// Whether the signature over the digest was made with the secret key that belongs to the public key. Malformed texts do not
// match.
bool signatureMatches(const std::string &digest, const std::string &signature, const std::string &publicKey);

// Whether the text has the form of a public key.
bool isPublicKey(const std::string &text);
}
