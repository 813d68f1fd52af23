#include "quetzallift/edge/signature.h"

#include "quetzallift/model/error.h"

#include <sodium.h>

#include <array>
#include <optional>

namespace Quetzallift
{
namespace
{
template<std::size_t Size>
using Bytes = std::array<unsigned char, Size>;

// Adds a domain prefix, so that signatures made with the same key for other purposes are not valid for a bundle.
std::string signedText(const std::string &digest)
{
    return "quetzallift bundle " + digest;
}

template<std::size_t Size>
std::string toHex(const Bytes<Size> &bytes)
{
    std::string text(Size * 2 + 1, '\0');
    sodium_bin2hex(text.data(), text.size(), bytes.data(), bytes.size());
    text.pop_back();
    return text;
}

template<std::size_t Size>
std::optional<Bytes<Size>> fromHex(const std::string &text)
{
    Bytes<Size> bytes{};
    std::size_t length = 0;
    const char *end = nullptr;
    const bool parsed = sodium_hex2bin(bytes.data(), bytes.size(), text.data(), text.size(), nullptr, &length, &end) == 0;
    if (!parsed || length != Size || end != text.data() + text.size()) {
        return {};
    }
    return bytes;
}

const unsigned char *bytesOf(const std::string &text)
{
    return reinterpret_cast<const unsigned char *>(text.data());
}
}

KeyPair generateKeyPair()
{
    Bytes<crypto_sign_PUBLICKEYBYTES> publicKey{};
    Bytes<crypto_sign_SECRETKEYBYTES> secretKey{};
    crypto_sign_keypair(publicKey.data(), secretKey.data());
    return {toHex(publicKey), toHex(secretKey)};
}

std::string signDigest(const std::string &digest, const std::string &secretKey)
{
    const auto key = fromHex<crypto_sign_SECRETKEYBYTES>(secretKey);
    if (!key) {
        throw Error(Step::Approve, "key", "the secret key is not " + std::to_string(crypto_sign_SECRETKEYBYTES) + " bytes in hexadecimal");
    }
    const std::string text = signedText(digest);
    Bytes<crypto_sign_BYTES> signature{};
    crypto_sign_detached(signature.data(), nullptr, bytesOf(text), text.size(), key->data());
    return toHex(signature);
}

bool signatureMatches(const std::string &digest, const std::string &signature, const std::string &publicKey)
{
    const auto key = fromHex<crypto_sign_PUBLICKEYBYTES>(publicKey);
    const auto bytes = fromHex<crypto_sign_BYTES>(signature);
    const std::string text = signedText(digest);
    return key && bytes && crypto_sign_verify_detached(bytes->data(), bytesOf(text), text.size(), key->data()) == 0;
}

bool isPublicKey(const std::string &text)
{
    return fromHex<crypto_sign_PUBLICKEYBYTES>(text).has_value();
}
}
